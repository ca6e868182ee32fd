//! A client of the agent that writes and reads raw bytes.

use super::messages::{read_message, Message};
use super::within_time_limit;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The client's end of a connection.
pub struct Client {
    /// The connection, for tests that do more than exchange messages.
    pub stream: TcpStream,
}

impl Client {
    /// Connects to an agent.
    pub async fn connect(address: SocketAddr) -> Self {
        Client { stream: TcpStream::connect(address).await.expect("a connection") }
    }

    /// Sends a request or part of one.
    pub async fn send(&mut self, request: &str) {
        self.stream.write_all(request.as_bytes()).await.expect("the bytes are written");
    }

    /// Returns the next response.
    pub async fn receive(&mut self) -> Message {
        within_time_limit("a response", read_message(&mut self.stream, 0)).await.expect("a complete response")
    }

    /// Sends a request and returns its response.
    pub async fn exchange(&mut self, request: &str) -> Message {
        self.send(request).await;
        self.receive().await
    }

    /// Waits until the connection ends. The agent must not send anything before.
    pub async fn wait_for_close(&mut self) {
        let mut byte = [0; 1];
        let read = within_time_limit("the connection's end", self.stream.read(&mut byte)).await;
        assert!(matches!(read, Ok(0) | Err(_)), "more bytes were received");
    }
}
