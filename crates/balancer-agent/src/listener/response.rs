//! The responses to clients: their statuses, headers and texts.

use crate::request::{FinalAnswer, ServedAnswer};
use balancer_core::Span;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// A response to a client.
pub type ClientResponse = Response<Full<Bytes>>;

/// A response with this status and a line of text.
pub fn text_response(status: StatusCode, text: &str) -> ClientResponse {
    let mut response = Response::new(Full::new(Bytes::from(format!("{text}\n"))));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}

impl From<FinalAnswer> for ClientResponse {
    fn from(answer: FinalAnswer) -> Self {
        match answer {
            FinalAnswer::Served(answer) => served_response(answer),
            FinalAnswer::Rejected { retry_after } => rejection(retry_after),
            FinalAnswer::Failed(status) => text_response(status, "failed"),
        }
    }
}

/// A server's answer with its content type and body; its other headers are not forwarded.
fn served_response(answer: ServedAnswer) -> ClientResponse {
    let mut response = Response::new(Full::new(answer.body));
    if let Some(content_type) = answer.content_type {
        response.headers_mut().insert(CONTENT_TYPE, content_type);
    }
    response
}

/// A 429 that may carry `Retry-After` in decimal seconds.
fn rejection(retry_after: Option<Span>) -> ClientResponse {
    let mut response = text_response(StatusCode::TOO_MANY_REQUESTS, "refused; trying again is harmless");
    if let Some(value) = retry_after.and_then(retry_after_value) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

fn retry_after_value(retry_after: Span) -> Option<HeaderValue> {
    let seconds = retry_after.as_millis_f64() / 1e3;
    HeaderValue::from_str(&format!("{seconds:.3}")).ok()
}
