//! Reading the answers of servers (PROTOCOL page, "Agents to order servers").

use super::MAX_BODY;
use balancer_core::{LoadReport, Outcome};
use hyper::body::Body;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{Response, StatusCode};

/// What an answer means. Only a rejection that says so proves that the request has not run: a bare 503 may
/// come from something that ran it.
pub fn outcome_of<B>(response: &Response<B>) -> Outcome {
    let is_unprocessed =
        response.headers().get("x-not-processed").is_some_and(|value| value.as_bytes() == b"1");
    match response.status() {
        StatusCode::OK => Outcome::Success,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if is_unprocessed => Outcome::Rejected,
        _ => Outcome::ServerError,
    }
}

/// Whether the end of the body is known and not too far off. Two lengths are none: hyper would go by one of
/// them, and what it then took for the answer need not be. With none, what was cut off would pass for the
/// whole.
pub fn has_known_length<B: Body>(response: &Response<B>) -> bool {
    let headers = response.headers();
    let lengths = headers.get_all(CONTENT_LENGTH).iter().chain(headers.get(TRANSFER_ENCODING)).count();
    let needs_length = response.status() == StatusCode::OK;
    let is_ambiguous = lengths > 1 || (lengths == 0 && needs_length);
    !is_ambiguous && response.body().size_hint().lower() <= MAX_BODY as u64
}

/// The load report in an answer's header, if there is one.
pub fn load_report_of<B>(response: &Response<B>, fields: &[String]) -> Option<LoadReport> {
    let header = response.headers().get("x-server-load").and_then(|value| value.to_str().ok());
    header.and_then(|text| parse_load_report(text, fields))
}

/// Reads `TEXT inflight=7, queue=2` into the order of the settings; none if it says nothing of their fields.
pub fn parse_load_report(text: &str, fields: &[String]) -> Option<LoadReport> {
    let text = text.trim();
    let pairs = text.strip_prefix("TEXT").unwrap_or(text);
    let mut report = vec![f64::NAN; fields.len()];
    for pair in pairs.split(',') {
        let Some((name, value)) = pair.split_once('=') else { continue };
        let Some(position) = fields.iter().position(|field| field.as_str() == name.trim()) else { continue };
        report[position] = value.trim().parse().unwrap_or(f64::NAN);
    }
    report.iter().any(|value| value.is_finite()).then(|| LoadReport::new(report))
}

#[cfg(test)]
mod tests;
