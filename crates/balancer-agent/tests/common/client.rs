//! A client that sends raw bytes to the agent and parses its responses.

use super::messages::{read_message, Message};
use super::within_time_limit;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The client's end of a connection to the agent.
pub struct Client {
    /// The socket, for tests that do more than send requests and receive responses.
    pub stream: TcpStream,
}

impl Client {
    /// Connects to the agent that listens on this address.
    pub async fn connect(address: SocketAddr) -> Self {
        Client { stream: TcpStream::connect(address).await.expect("the agent should accept the connection") }
    }

    /// Writes a request, or a part of one, to the connection.
    pub async fn send(&mut self, request: &str) {
        self.stream.write_all(request.as_bytes()).await.expect("the request should be written");
    }

    /// Waits for the next response and returns it.
    pub async fn receive(&mut self) -> Message {
        within_time_limit("a response", read_message(&mut self.stream, 0))
            .await
            .expect("the response should be complete")
    }

    /// Sends a request, waits for its response and returns it.
    pub async fn exchange(&mut self, request: &str) -> Message {
        self.send(request).await;
        self.receive().await
    }

    /// Waits until the agent closes the connection.
    ///
    /// # Panics
    ///
    /// Panics if the agent sends any bytes before the close.
    pub async fn wait_for_close(&mut self) {
        let mut byte = [0; 1];
        let read = within_time_limit("the close of the connection", self.stream.read(&mut byte)).await;
        assert!(matches!(read, Ok(0) | Err(_)), "the agent sent bytes before it closed the connection");
    }
}
