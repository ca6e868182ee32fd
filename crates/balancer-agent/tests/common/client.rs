//! A client of the agent, which speaks plain bytes.

use super::messages::{read_message, Message};
use super::within_time_limit;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The client's side of a connection.
pub struct Client {
    /// The connection itself, for tests that read, write or close in ways of their own.
    pub stream: TcpStream,
}

impl Client {
    /// Connects to an agent.
    pub async fn connect(address: SocketAddr) -> Self {
        Client { stream: TcpStream::connect(address).await.expect("a connection") }
    }

    /// Sends a request or a part of one.
    pub async fn send(&mut self, request: &str) {
        self.stream.write_all(request.as_bytes()).await.expect("the agent reads");
    }

    /// Awaits a response.
    pub async fn receive(&mut self) -> Message {
        within_time_limit("a response", read_message(&mut self.stream, 0)).await.expect("a whole response")
    }

    /// Sends a request and awaits its response.
    pub async fn exchange(&mut self, request: &str) -> Message {
        self.send(request).await;
        self.receive().await
    }

    /// Awaits the end of the connection, ahead of which nothing may come.
    pub async fn wait_for_close(&mut self) {
        let mut byte = [0; 1];
        let read = within_time_limit("the connection's end", self.stream.read(&mut byte)).await;
        assert!(matches!(read, Ok(0) | Err(_)), "more bytes came");
    }
}
