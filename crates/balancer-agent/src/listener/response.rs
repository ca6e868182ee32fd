//! The wording of answers to clients.

use crate::request::FinalAnswer;
use balancer_core::Span;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// An answer to a client.
pub type ClientResponse = Response<Full<Bytes>>;

/// An answer of a status and a line of text.
pub fn text_response(status: StatusCode, text: &str) -> ClientResponse {
    let mut response = Response::new(Full::new(Bytes::from(format!("{text}\n"))));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}

impl From<FinalAnswer> for ClientResponse {
    fn from(answer: FinalAnswer) -> Self {
        match answer {
            FinalAnswer::Served(answer) => {
                let mut response = Response::new(Full::new(answer.body));
                let content_type = answer.content_type.map(|value| (CONTENT_TYPE, value));
                response.headers_mut().extend(content_type);
                response
            }
            FinalAnswer::Rejected { retry_after } => rejection(retry_after),
            FinalAnswer::Failed(status) => text_response(status, "failed"),
        }
    }
}

fn rejection(retry_after: Option<Span>) -> ClientResponse {
    let mut response = text_response(StatusCode::TOO_MANY_REQUESTS, "refused; trying again is harmless");
    let seconds = retry_after.map(|after| format!("{:.3}", after.as_millis_f64() / 1e3));
    let value = seconds.and_then(|seconds| HeaderValue::from_str(&seconds).ok());
    response.headers_mut().extend(value.map(|value| (RETRY_AFTER, value)));
    response
}
