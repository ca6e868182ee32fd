//! Tests of the options of a client connection's socket.

use super::*;
use std::future::poll_fn;
use tokio::net::TcpListener;
use tokio::time::Instant;

/// `TCP_NODELAY` is not set when a connection is accepted. It is set before the first write.
#[tokio::test]
async fn nodelay_is_set_before_the_first_write() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let client = TcpStream::connect(listener.local_addr().expect("an address"));
    let (_client, accepted) = tokio::join!(client, listener.accept());
    let memory = MemoryBudget::with_capacity(1 << 20);
    let mut stream =
        ClientStream::new(accepted.expect("a connection").0, ConnectionState::new(Instant::now()), memory);
    assert!(!stream.io.inner().nodelay().expect("an option"));

    poll_fn(|cx| Pin::new(&mut stream).poll_write(cx, b"x")).await.expect("the byte is written");

    assert!(stream.io.inner().nodelay().expect("an option"));
}
