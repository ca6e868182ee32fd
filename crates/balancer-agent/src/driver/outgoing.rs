//! The request that is sent to a server for a client's request.

use crate::request::ClientRequest;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderName, HeaderValue, CONTENT_LENGTH};
use hyper::{Method, Request};
use std::time::Duration;

/// The header that states how long the sender of a request waits for the response.
const TIMEOUT_HEADER: HeaderName = HeaderName::from_static("x-timeout");

/// Returns a copy of the client's request, with a header that states how long the agent waits for the
/// response, in microseconds. The copy states the length of its body, unless it is a GET without a body.
pub fn build_outgoing_request(request: &ClientRequest, timeout: Duration) -> Request<Full<Bytes>> {
    let mut outgoing = Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.uri.clone();
    *outgoing.headers_mut() = request.headers.clone();
    let headers = outgoing.headers_mut();
    let timeout = HeaderValue::from_str(&format!("{}u", timeout.as_micros().max(1)));
    headers.extend(timeout.ok().map(|timeout| (TIMEOUT_HEADER, timeout)));
    if request.method != Method::GET || !request.body.is_empty() {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(request.body.len()));
    }
    outgoing
}
