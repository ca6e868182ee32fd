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

/// Connects a socket whose small writes go out at once.
///
/// # Errors
///
/// If no connection can be made.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    // A connection without it is slower at the worst.
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
) -> hyper::Result<(SendRequest<RequestBody>, ConnectionTask)>
where
    Socket: Read + Write + Unpin + 'static,
    RequestBody: Body + 'static,
    RequestBody::Data: Send,
    RequestBody::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let (sender, connection) = builder.handshake(socket).await?;
    let task = tokio::task::spawn_local(async move {
        // How the connection ended shows at the sender and in the bytes written.
        let _ = connection.await;
    });
    Ok((sender, ConnectionTask(task)))
}
