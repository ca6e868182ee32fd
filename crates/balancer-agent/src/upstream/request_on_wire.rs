//! Whether a request has been written completely to its connection.

use super::counted_stream::WireState;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Body;
use hyper::Request;
use std::rc::Rc;
use tokio::time::Instant;

/// A request and the connection that it is written to.
#[derive(Clone)]
pub struct RequestOnWire {
    wire: Rc<WireState>,
    /// The number of bytes written to the connection when the request's last byte is among them.
    end: u64,
}

impl RequestOnWire {
    /// A request that is about to be written to a connection.
    pub fn new(request: &Request<Full<Bytes>>, wire: &Rc<WireState>) -> Self {
        let end = wire.bytes_written() + min_encoded_size(request);
        RequestOnWire { wire: wire.clone(), end }
    }

    /// Whether its last byte may have been written. A server begins to run a request with its last byte.
    pub fn may_be_complete(&self) -> bool {
        self.wire.bytes_written() >= self.end
    }

    /// Sets the time after which writes to the connection fail, if any.
    pub fn set_write_by(&self, write_by: Option<Instant>) {
        self.wire.set_write_by(write_by);
    }

    /// Stops writing to the connection. What has been written of the request is all that the server gets.
    pub fn stop_writing(&self) {
        self.wire.close_writing();
    }
}

/// A lower bound of a request's encoded size in bytes. While fewer bytes are written, its last byte is not.
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
