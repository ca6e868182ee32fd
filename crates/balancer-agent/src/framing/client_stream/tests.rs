//! Options of a client's socket.

use super::*;
use std::future::poll_fn;
use tokio::net::TcpListener;

/// The option could not be set when the connection was accepted.
#[tokio::test]
async fn the_first_answer_goes_out_without_delay() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let client = TcpStream::connect(listener.local_addr().expect("an address"));
    let (_client, accepted) = tokio::join!(client, listener.accept());
    let mut stream = ClientStream::new(accepted.expect("a connection").0, ConnectionState::new());
    assert!(!stream.io.inner().nodelay().expect("an option"));

    poll_fn(|cx| Pin::new(&mut stream).poll_write(cx, b"x")).await.expect("it is written");

    assert!(stream.io.inner().nodelay().expect("an option"));
}
