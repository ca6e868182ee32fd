//! The responses to clients, with their statuses, headers and texts.

use crate::request::{FinalResponse, ServedResponse};
use balancer_core::Span;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// A response to a client.
pub type ClientResponse = Response<Full<Bytes>>;

/// Returns a response with this status and a body of one line of text.
pub fn text_response(status: StatusCode, text: &str) -> ClientResponse {
    let mut response = Response::new(Full::new(Bytes::from(format!("{text}\n"))));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}

impl From<FinalResponse> for ClientResponse {
    fn from(response: FinalResponse) -> Self {
        match response {
            FinalResponse::Served(served) => served_response(served),
            FinalResponse::Rejected { retry_after } => rejection_response(retry_after),
            FinalResponse::Failed(status) => text_response(status, "failed"),
        }
    }
}

/// Returns a response with the content type and the body of a server's response. The other headers of the
/// server's response are not forwarded.
fn served_response(served: ServedResponse) -> ClientResponse {
    let mut response = Response::new(Full::new(served.body));
    if let Some(content_type) = served.content_type {
        response.headers_mut().insert(CONTENT_TYPE, content_type);
    }
    response
}

/// Returns a response with status 429, and with a `Retry-After` header if `retry_after` is given.
fn rejection_response(retry_after: Option<Span>) -> ClientResponse {
    let mut response = text_response(StatusCode::TOO_MANY_REQUESTS, "refused; trying again is harmless");
    if let Some(value) = retry_after.and_then(retry_after_value) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// Formats the value of a `Retry-After` header, in seconds with three decimal places.
fn retry_after_value(retry_after: Span) -> Option<HeaderValue> {
    let seconds = retry_after.as_millis_f64() / 1e3;
    HeaderValue::from_str(&format!("{seconds:.3}")).ok()
}
