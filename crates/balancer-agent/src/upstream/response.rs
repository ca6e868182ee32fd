//! What the answers of servers mean (PROTOCOL page, "Agents to order servers").

use super::MAX_BODY;
use balancer_core::{LoadReport, Outcome};
use hyper::body::Body;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{Response, StatusCode};

/// The outcome that a server's answer stands for. A 503 or 504 proves that the request has not run only if it
/// carries the header `X-Not-Processed: 1`; otherwise it may come from a proxy behind which the request ran.
pub fn outcome_of<B>(response: &Response<B>) -> Outcome {
    let is_unprocessed =
        response.headers().get("x-not-processed").is_some_and(|value| value.as_bytes() == b"1");
    match response.status() {
        StatusCode::OK => Outcome::Success,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if is_unprocessed => Outcome::Rejected,
        _ => Outcome::ServerError,
    }
}

/// Whether the length of the body is unambiguous and at most `MAX_BODY`. With several lengths hyper would use
/// one of them, which may be the wrong one; without any, a truncated body would be taken for a complete one.
pub fn has_known_length<B: Body>(response: &Response<B>) -> bool {
    let headers = response.headers();
    let lengths = headers.get_all(CONTENT_LENGTH).iter().chain(headers.get(TRANSFER_ENCODING)).count();
    let needs_length = response.status() == StatusCode::OK;
    let is_ambiguous = lengths > 1 || (lengths == 0 && needs_length);
    !is_ambiguous && response.body().size_hint().lower() <= MAX_BODY as u64
}

/// The load report in an answer's header, if any.
pub fn load_report_of<B>(response: &Response<B>, fields: &[String]) -> Option<LoadReport> {
    let header = response.headers().get("x-server-load").and_then(|value| value.to_str().ok());
    header.and_then(|text| parse_load_report(text, fields))
}

/// Parses a load report such as `TEXT inflight=7, queue=2`. Its values are in the order of `fields`, with NaN
/// for those that are missing or not a number; `None` if it has a value for none of them.
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
