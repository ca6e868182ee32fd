//! An open connection to a server.

use super::incarnation::Incarnation;
use super::slots::ConnectionSlot;
use crate::http_client::{connect, start_http, ConnectionTask};
use crate::upstream::counting_stream::{CountingStream, SocketState};
use crate::upstream::MAX_HEAD_BYTES;
use balancer_core::ServerId;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::{Request, Response};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// The minimum time that a connection is idle before it is reused. A faulty server may send a second response
/// some milliseconds after the first. On a connection that is reused immediately, the second response would
/// be taken for the response to the next request.
pub const REUSE_DELAY: Duration = Duration::from_millis(5);

/// The destination of a connection.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionTarget {
    /// The server to connect to.
    pub server: ServerId,
    /// The incarnation of the server that the connection is opened to.
    pub incarnation: Incarnation,
    /// The server's address.
    pub address: SocketAddr,
}

/// An open connection to a server, which carries one exchange at a time. Dropping the value closes the
/// connection.
pub struct Connection {
    target: ConnectionTarget,
    sender: SendRequest<Full<Bytes>>,
    socket_state: Rc<SocketState>,
    /// When the connection last became idle, or when it was opened if it has not been idle.
    idle_since: Instant,
    _task: ConnectionTask,
}

impl Connection {
    /// Opens a connection to a target. The connection occupies the slot until its socket is closed.
    ///
    /// # Errors
    ///
    /// Returns an error if the server does not accept the connection.
    pub async fn open(target: ConnectionTarget, slot: ConnectionSlot) -> io::Result<Self> {
        let stream = connect(target.address).await?;
        let socket_state = Rc::<SocketState>::default();
        let mut builder = Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES).max_header_size(MAX_HEAD_BYTES);
        let socket = CountingStream::new(stream, socket_state.clone(), slot);
        let http = start_http(&builder, socket).await.map_err(io::Error::other)?;
        Ok(Connection {
            target,
            sender: http.sender,
            socket_state,
            idle_since: Instant::now(),
            _task: http.task,
        })
    }

    /// Returns the server that the connection leads to.
    pub fn server(&self) -> ServerId {
        self.target.server
    }

    /// Returns the server incarnation that the connection leads to.
    pub fn incarnation(&self) -> Incarnation {
        self.target.incarnation
    }

    /// Returns the state of the connection's socket.
    pub fn socket_state(&self) -> &Rc<SocketState> {
        &self.socket_state
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection breaks before the head has arrived.
    pub async fn send_request(&mut self, request: Request<Full<Bytes>>) -> hyper::Result<Response<Incoming>> {
        self.sender.send_request(request).await
    }

    /// Returns whether the connection can carry a request now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Waits until the connection can carry a request.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is closed instead.
    pub async fn ready(&mut self) -> hyper::Result<()> {
        self.sender.ready().await
    }

    /// Returns whether the connection has been closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Marks the connection as idle from now on and removes the write deadline of its last request.
    pub fn mark_idle(&mut self) {
        self.idle_since = Instant::now();
        self.socket_state.set_write_by(None);
    }

    /// Returns when the connection last became idle, or when it was opened if it has not been idle.
    pub fn idle_since(&self) -> Instant {
        self.idle_since
    }

    /// Returns when the reuse delay of the connection ends.
    pub fn reusable_at(&self) -> Instant {
        self.idle_since + REUSE_DELAY
    }

    /// Returns whether the reuse delay of the connection has ended.
    pub fn is_reusable(&self) -> bool {
        self.idle_since.elapsed() >= REUSE_DELAY
    }
}
