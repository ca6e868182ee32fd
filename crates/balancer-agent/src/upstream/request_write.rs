//! The state of writing a request to its connection.

use super::counting_stream::SocketState;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Body;
use hyper::Request;
use std::rc::Rc;
use tokio::time::Instant;

/// The state of writing a request to its connection. It shows whether the last byte of the request may have
/// been written.
#[derive(Clone)]
pub struct RequestWrite {
    socket_state: Rc<SocketState>,
    /// A lower bound of the end of the request, as an offset in the bytes written to the connection.
    min_end_offset: u64,
}

impl RequestWrite {
    /// Creates the state of a request that is about to be written to a connection.
    pub fn new(request: &Request<Full<Bytes>>, socket_state: &Rc<SocketState>) -> Self {
        let min_end_offset = socket_state.bytes_written() + min_encoded_size(request);
        RequestWrite { socket_state: socket_state.clone(), min_end_offset }
    }

    /// Returns whether the last byte of the request may have been written. A server runs a request only after
    /// it has received the last byte.
    pub fn may_be_complete(&self) -> bool {
        self.socket_state.bytes_written() >= self.min_end_offset
    }

    /// Sets the time after which writes to the connection fail; `None` removes the limit.
    pub fn set_write_by(&self, write_by: Option<Instant>) {
        self.socket_state.set_write_by(write_by);
    }

    /// Makes all further writes to the connection fail, so that the server never receives the rest of the
    /// request.
    pub fn stop_writing(&self) {
        self.socket_state.close_writing();
    }
}

/// Returns a lower bound of the encoded size of a request, in bytes. While fewer bytes have been written, the
/// last byte of the request has not been written.
fn min_encoded_size(request: &Request<Full<Bytes>>) -> u64 {
    let request_line =
        request.method().as_str().len() + request.uri().path().len() + " ".len() + " HTTP/1.1\r\n".len();
    let query = request.uri().query().map_or(0, |query| query.len() + "?".len());
    let header_size = |name: &str, value: &[u8]| name.len() + value.len() + ": \r\n".len();
    let headers = request.headers().iter();
    let headers: usize = headers.map(|(name, value)| header_size(name.as_str(), value.as_bytes())).sum();
    let head = request_line + query + headers + "\r\n".len();
    let body = request.body().size_hint().exact().unwrap_or(0);
    head as u64 + body
}
