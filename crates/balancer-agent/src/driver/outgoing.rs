//! The request that is sent to a server for a client's request.

use crate::request::ClientRequest;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderName, HeaderValue, CONTENT_LENGTH};
use hyper::{Method, Request};
use std::time::Duration;

/// The header that states how long the sender waits for an answer.
const TIMEOUT: HeaderName = HeaderName::from_static("x-timeout");

/// The client's request unchanged, with a header that states how long the agent waits for the answer.
pub fn outgoing_request(request: &ClientRequest, wait: Duration) -> Request<Full<Bytes>> {
    let mut outgoing = Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.uri.clone();
    *outgoing.headers_mut() = request.headers.clone();
    let headers = outgoing.headers_mut();
    let wait = HeaderValue::from_str(&format!("{}u", wait.as_micros().max(1)));
    headers.extend(wait.ok().map(|wait| (TIMEOUT, wait)));
    if request.method != Method::GET || !request.body.is_empty() {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(request.body.len()));
    }
    outgoing
}
