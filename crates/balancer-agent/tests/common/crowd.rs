//! A crowd of clients that connect at once, send something and stay or go.

use super::sockets::small_buffer_connection;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// The longest time for which a client of a crowd tries to connect and to send.
const SEND_TIME: Duration = Duration::from_secs(2);

/// What each client of a crowd does after it has connected.
#[derive(Clone)]
pub struct CrowdClient {
    /// The bytes that the client sends.
    pub bytes: Vec<u8>,
    /// Whether the client's socket has very small buffers.
    pub has_small_buffers: bool,
}

impl CrowdClient {
    /// Creates a client that sends these bytes.
    pub fn sending(bytes: impl Into<Vec<u8>>) -> Self {
        CrowdClient { bytes: bytes.into(), has_small_buffers: false }
    }

    /// Creates a client that sends these bytes and whose socket takes only little of the response.
    pub fn with_small_buffers(bytes: impl Into<Vec<u8>>) -> Self {
        CrowdClient { bytes: bytes.into(), has_small_buffers: true }
    }

    /// Connects and sends. Returns `None` if the agent refuses the connection or closes it meanwhile.
    async fn send(self, agent: SocketAddr) -> Option<TcpStream> {
        let mut stream = if self.has_small_buffers {
            small_buffer_connection(agent).await
        } else {
            TcpStream::connect(agent).await.ok()?
        };
        // A client that cannot send all keeps its connection too.
        let _ = tokio::time::timeout(SEND_TIME, stream.write_all(&self.bytes)).await;
        Some(stream)
    }
}

/// The connections of a crowd, which read nothing and are open until the value is dropped.
pub struct Crowd(Vec<TcpStream>);

impl Crowd {
    /// Connects all clients at once and waits until each has sent its bytes, or as many as the agent takes.
    pub async fn send(agent: SocketAddr, clients: impl IntoIterator<Item = CrowdClient>) -> Self {
        let mut tasks = JoinSet::new();
        for client in clients {
            tasks.spawn(client.send(agent));
        }
        Crowd(tasks.join_all().await.into_iter().flatten().collect())
    }

    /// Resets all connections.
    pub fn reset(self) {
        for stream in self.0 {
            stream.set_zero_linger().expect("the socket option should be set");
        }
    }
}
