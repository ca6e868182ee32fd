//! The request that is sent to a server for a client's request.

use crate::request::ClientRequest;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, CONTENT_LENGTH};
use hyper::{Method, Request};

/// Returns a copy of the client's request. The copy states the length of its body, unless it is a GET without a
/// body.
pub fn build_outgoing_request(request: &ClientRequest) -> Request<Full<Bytes>> {
    let mut outgoing = Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.uri.clone();
    *outgoing.headers_mut() = request.headers.clone();
    let headers = outgoing.headers_mut();
    if request.method != Method::GET || !request.body.is_empty() {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(request.body.len()));
    }
    outgoing
}
