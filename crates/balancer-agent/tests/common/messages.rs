//! Builds and reads HTTP/1.1 messages.

use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// A readiness request.
pub const READY_REQUEST: &str = "GET /ready HTTP/1.1\r\n\r\n";

/// A 503 response that does not say whether the request was processed.
pub const PLAIN_503: &[u8] = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";

/// A 503 response with the header that proves that the request was not processed.
pub const NOT_PROCESSED_503: &[u8] = b"HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";

/// The bytes that end the head of a message.
const END_OF_HEAD: &[u8] = b"\r\n\r\n";

/// A request or a response.
#[derive(Debug, Clone)]
pub struct Message {
    /// The number of the connection on which the message was received, counted from 0.
    pub connection: usize,
    /// The first line, the headers and the empty line after them.
    pub head: String,
    /// The body, which is empty if the head has no `Content-Length`.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the request line or the status line.
    pub fn first_line(&self) -> &str {
        self.head.lines().next().unwrap_or_default()
    }

    /// Returns the target of a request.
    pub fn target(&self) -> &str {
        self.first_line().split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status code of a response; 0 if the status line has no valid code.
    pub fn status(&self) -> u16 {
        self.first_line().split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Returns the value of the first header of this name.
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().skip(1);
        let mut headers = lines.filter_map(|line| line.split_once(':'));
        headers.find(|(header_name, _)| header_name.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim())
    }

    fn content_length(&self) -> usize {
        self.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message. Returns `None` if the connection is closed before the end of the message.
pub async fn read_message(stream: &mut TcpStream, connection: usize) -> Option<Message> {
    let ReceivedHead { head, rest: mut body } = read_head(stream).await?;
    let mut message = Message { connection, head, body: Vec::new() };
    let length = message.content_length();
    while body.len() < length {
        if stream.read_buf(&mut body).await.ok()? == 0 {
            return None;
        }
    }
    message.body = body;
    Some(message)
}

/// A head, and the bytes after the head that were received with it.
struct ReceivedHead {
    head: String,
    rest: Vec<u8>,
}

/// Reads up to the end of a head. Returns `None` if the connection is closed before the end of the head.
async fn read_head(stream: &mut TcpStream) -> Option<ReceivedHead> {
    let mut bytes = Vec::new();
    let end = loop {
        if let Some(start) = bytes.windows(END_OF_HEAD.len()).position(|window| window == END_OF_HEAD) {
            break start + END_OF_HEAD.len();
        }
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    };
    let rest = bytes.split_off(end);
    let head = String::from_utf8(bytes).ok()?;
    Some(ReceivedHead { head, rest })
}

/// Returns a 200 response with this body.
pub fn ok_response(body: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// Returns a GET request with a new request id. The first segment of the path names the request class.
pub fn get_request(path: &str, timeout: &str) -> String {
    format!("{}\r\n", head_without_length("GET", path, timeout))
}

/// Returns a POST request with a new request id. The first segment of the path names the request class; a
/// request of the class `save` has an idempotency key.
pub fn post_request(path: &str, timeout: &str, body: &str) -> String {
    let head = head_without_length("POST", path, timeout);
    format!("{head}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// Returns a request head without `Content-Length` and without the empty line at its end.
fn head_without_length(method: &str, path: &str, timeout: &str) -> String {
    static NEXT_ID: AtomicUsize = AtomicUsize::new(1);
    let id = NEXT_ID.fetch_add(1, Ordering::SeqCst);
    let class = path.trim_start_matches('/').split(['/', '?']).next().unwrap_or_default();
    let key = if class == "save" { "Idempotency-Key: k1\r\n" } else { "" };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: id{id}\r\n\
         X-Priority-Class: {class}\r\nX-Tenant-Id: acme\r\nX-Timeout: {timeout}\r\n{key}"
    )
}

/// Returns a POST request with a chunked body that begins with these encoded chunks. The caller sends the
/// rest of the body, if there is more.
pub fn chunked_post_request(path: &str, timeout: &str, chunks: &str) -> String {
    let request = post_request(path, timeout, "");
    request.replace("Content-Length: 0", "Transfer-Encoding: chunked") + chunks
}
