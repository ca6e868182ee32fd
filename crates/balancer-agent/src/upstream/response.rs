//! The interpretation of the responses of servers (PROTOCOL page, "Agents to order servers").

use super::MAX_BODY_BYTES;
use balancer_core::{LoadReport, Outcome};
use hyper::body::Body;
use hyper::header::{HeaderValue, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{Response, StatusCode};

/// Returns the outcome that a server's response indicates.
///
/// A 503 or 504 proves that the request did not run only if the response has the header `X-Not-Processed: 1`.
/// Without the header, the response may come from a proxy, and the request may have run on a server behind
/// the proxy.
pub fn outcome_of<B>(response: &Response<B>) -> Outcome {
    let is_unprocessed =
        response.headers().get("x-not-processed").is_some_and(|value| value.as_bytes() == b"1");
    match response.status() {
        StatusCode::OK => Outcome::Success,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if is_unprocessed => Outcome::Rejected,
        _ => Outcome::ServerError,
    }
}

/// Where the body of a response ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyEnd {
    /// At the stated length, or at the last chunk.
    Stated,
    /// At the end of the connection, if that end is orderly.
    Connection,
}

/// Returns where the body of a response ends. Returns `None` if the response does not tell, or if the stated
/// length exceeds [`MAX_BODY_BYTES`].
///
/// If a response states several lengths, hyper uses one of them, which may be the wrong one. If a transfer
/// coding other than `chunked` comes last, the body ends with the connection, but is not the server's body.
pub fn body_end_of<B: Body>(response: &Response<B>) -> Option<BodyEnd> {
    let headers = response.headers();
    let mut transfer_codings = headers.get_all(TRANSFER_ENCODING).iter();
    match (headers.get_all(CONTENT_LENGTH).iter().count(), transfer_codings.next()) {
        (0, None) => Some(BodyEnd::Connection),
        (1, None) => {
            (response.body().size_hint().lower() <= MAX_BODY_BYTES as u64).then_some(BodyEnd::Stated)
        }
        (0, Some(coding)) if is_chunked(coding) && transfer_codings.next().is_none() => Some(BodyEnd::Stated),
        _ => None,
    }
}

/// Returns whether the last of the listed transfer codings is `chunked`.
fn is_chunked(codings: &HeaderValue) -> bool {
    let last = codings.as_bytes().rsplit(|byte| *byte == b',').next().unwrap_or_default();
    last.trim_ascii().eq_ignore_ascii_case(b"chunked")
}

/// Returns the load report in the header of a response, if there is one.
pub fn load_report_of<B>(response: &Response<B>, fields: &[String]) -> Option<LoadReport> {
    let header = response.headers().get("x-server-load").and_then(|value| value.to_str().ok());
    header.and_then(|text| parse_load_report(text, fields))
}

/// Parses a load report such as `TEXT inflight=7, queue=2`. The values of the result are in the order of
/// `fields`; a value that is missing or not a number is NaN. Returns `None` if no field has a finite value.
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
