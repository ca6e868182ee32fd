//! The response to a request that has not been received completely.

use super::invalid_request::InvalidRequest;
use crate::framing::{ClientStream, ConnectionState};
use hyper::rt::Write;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;

/// Rejects the request that is being received on a connection: writes the response, shuts down the sending
/// side, and discards what the client still sends until it closes the connection.
///
/// # Errors
///
/// Returns an error if the connection breaks.
pub async fn reject_partial_request(
    mut stream: ClientStream,
    state: &ConnectionState,
    reason: InvalidRequest,
) -> io::Result<()> {
    state.record_response_ready();
    write_all(&mut stream, &encode_response(reason)).await?;
    poll_fn(|cx| Pin::new(&mut stream).poll_flush(cx)).await?;
    poll_fn(|cx| Pin::new(&mut stream).poll_shutdown(cx)).await
}

async fn write_all(stream: &mut ClientStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        let length = poll_fn(|cx| Pin::new(&mut *stream).poll_write(cx, bytes)).await?;
        bytes = &bytes[length..];
    }
    Ok(())
}

/// Returns the response with its head. hyper cannot write it, because it has not read a request.
fn encode_response(reason: InvalidRequest) -> Vec<u8> {
    let body = format!("{reason}\n");
    let head = format!(
        "HTTP/1.1 {}\r\nconnection: close\r\ncontent-type: text/plain\r\ncontent-length: {}\r\n\r\n",
        reason.status(),
        body.len()
    );
    (head + &body).into_bytes()
}
