//! Opening HTTP/1.1 connections, to servers and to discovery.

use hyper::body::Body;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::rt::{Read, Write};
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// The task that drives a connection; dropping this ends the task and closes the connection.
pub struct ConnectionTask(JoinHandle<()>);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connected socket that speaks HTTP/1.1.
pub struct HttpConnection<RequestBody> {
    /// Sends requests over it.
    pub sender: SendRequest<RequestBody>,
    /// Drives it; must be kept for as long as the connection is used.
    pub task: ConnectionTask,
}

/// Connects a socket without delaying small writes.
///
/// # Errors
///
/// If no connection can be made.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    // Without the option the connection works, but may be slower.
    let _ = stream.set_nodelay(true);
    Ok(stream)
}

/// Starts HTTP/1.1 on a connected socket.
///
/// # Errors
///
/// If the connection ends at once.
pub async fn start_http<Socket, RequestBody>(
    builder: &Builder,
    socket: Socket,
) -> hyper::Result<HttpConnection<RequestBody>>
where
    Socket: Read + Write + Unpin + 'static,
    RequestBody: Body + 'static,
    RequestBody::Data: Send,
    RequestBody::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let (sender, connection) = builder.handshake(socket).await?;
    let task = tokio::task::spawn_local(async move {
        // The sender and the count of written bytes tell how the connection ended.
        let _ = connection.await;
    });
    Ok(HttpConnection { sender, task: ConnectionTask(task) })
}
