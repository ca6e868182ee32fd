//! HTTP/1.1 connections to servers and to discovery.

use hyper::body::Body;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::rt::{Read, Write};
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// The task that drives a connection. Dropping the value ends the task and closes the connection.
pub struct ConnectionTask(JoinHandle<()>);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// An open HTTP/1.1 connection.
pub struct HttpConnection<RequestBody> {
    /// The handle that sends requests over the connection.
    pub sender: SendRequest<RequestBody>,
    /// The task that drives the connection. It must be kept for as long as the connection is used.
    pub task: ConnectionTask,
}

/// Connects a TCP socket and sets `TCP_NODELAY`, so that small writes are sent without a delay.
///
/// # Errors
///
/// Returns an error if no connection can be established.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    // An error is ignored: the connection works without the option, but may be slower.
    let _ = stream.set_nodelay(true);
    Ok(stream)
}

/// Starts HTTP/1.1 on a connected socket and spawns the task that drives the connection.
///
/// # Errors
///
/// Returns an error if hyper cannot start the connection.
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
        // The result is not needed: the sender reports errors. On a connection to a server, the count of
        // written bytes shows how much was sent.
        let _ = connection.await;
    });
    Ok(HttpConnection { sender, task: ConnectionTask(task) })
}
