//! Tests of how the data from the peer has ended.

use super::*;
use std::future::poll_fn;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// Returns a socket that may read any number of bytes, its state, and the peer's socket.
async fn connected_pair() -> (CountingStream<()>, Rc<SocketState>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (stream, accepted) = tokio::join!(TcpStream::connect(address), listener.accept());
    let state = Rc::<SocketState>::default();
    state.allow_reading(u64::MAX);
    let stream = CountingStream::new(stream.expect("a connection"), state.clone(), ());
    (stream, state, accepted.expect("a connection").0)
}

/// Resets the connection.
fn reset(peer: TcpStream) {
    peer.set_zero_linger().expect("an option");
    drop(peer);
}

/// Reads some bytes and returns their number.
async fn read(stream: &mut CountingStream<()>) -> io::Result<usize> {
    let mut bytes = [0; 64];
    let mut buffer = ReadBuf::new(&mut bytes);
    poll_fn(|cx| Pin::new(&mut *stream).poll_read(cx, buffer.unfilled())).await?;
    Ok(buffer.filled().len())
}

async fn write(stream: &mut CountingStream<()>) -> io::Result<usize> {
    poll_fn(|cx| Pin::new(&mut *stream).poll_write(cx, b"request")).await
}

#[tokio::test]
async fn a_close_after_the_last_byte_is_an_orderly_end() {
    let (mut stream, state, mut peer) = connected_pair().await;
    peer.write_all(b"response").await.expect("the response is written");
    drop(peer);

    assert_eq!(read(&mut stream).await.expect("a read"), b"response".len());
    assert!(!state.has_orderly_end(), "the end has not been read");
    assert_eq!(read(&mut stream).await.expect("the end"), 0);

    assert!(state.has_orderly_end());
}

#[tokio::test]
async fn a_reset_is_no_orderly_end() {
    let (mut stream, state, mut peer) = connected_pair().await;
    peer.write_all(b"response").await.expect("the response is written");
    reset(peer);

    while read(&mut stream).await.is_ok_and(|length| length > 0) {}

    assert!(!state.has_orderly_end());
}

/// Guards against a truncated response that is taken for a complete one. The kernel reports a reset once, here
/// to a write, and the next read looks like the end of the data.
#[tokio::test]
async fn a_reset_that_a_write_has_noticed_is_no_orderly_end() {
    let (mut stream, state, peer) = connected_pair().await;
    reset(peer);
    let reports_reset = async { while write(&mut stream).await.is_ok() {} };
    tokio::time::timeout(Duration::from_secs(30), reports_reset).await.expect("the write should fail");

    assert_eq!(read(&mut stream).await.expect("a read after the reset was reported"), 0);

    assert!(!state.has_orderly_end());
}

/// Guards against a read without space for data, which returns 0 bytes as well.
#[tokio::test]
async fn a_read_of_no_bytes_is_no_end() {
    let (mut stream, state, mut peer) = connected_pair().await;
    peer.write_all(b"response").await.expect("the response is written");
    let mut buffer = ReadBuf::new(&mut []);

    poll_fn(|cx| Pin::new(&mut stream).poll_read(cx, buffer.unfilled())).await.expect("a read");

    assert!(!state.has_orderly_end());
}
