//! One open connection to a server.

use super::incarnation::Incarnation;
use super::slots::ConnectionSlot;
use crate::http_client::{connect, start_http, ConnectionTask};
use crate::upstream::counted_stream::{CountedStream, WireState};
use crate::upstream::MAX_HEAD;
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

/// A connection that has just carried a complete answer is not used for this long. A server that is at fault
/// may send a second answer some milliseconds later, which would pass for the next request's.
pub const SETTLE_TIME: Duration = Duration::from_millis(5);

/// Where a connection leads to.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionTarget {
    /// The server.
    pub server: ServerId,
    /// The server's incarnation when the connection was opened.
    pub incarnation: Incarnation,
    /// The server's address.
    pub address: SocketAddr,
}

/// An open connection to a server, which carries one exchange at a time; dropping it closes it.
pub struct Connection {
    target: ConnectionTarget,
    sender: SendRequest<Full<Bytes>>,
    wire: Rc<WireState>,
    idle_since: Instant,
    _task: ConnectionTask,
    _slot: ConnectionSlot,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// If the server does not accept it.
    pub async fn open(target: ConnectionTarget, slot: ConnectionSlot) -> io::Result<Self> {
        let stream = connect(target.address).await?;
        let wire = Rc::<WireState>::default();
        let mut builder = Builder::new();
        builder.max_buf_size(MAX_HEAD).max_header_size(MAX_HEAD);
        let socket = CountedStream::new(stream, wire.clone());
        let http = start_http(&builder, socket).await.map_err(io::Error::other)?;
        Ok(Connection {
            target,
            sender: http.sender,
            wire,
            idle_since: Instant::now(),
            _task: http.task,
            _slot: slot,
        })
    }

    /// The server that it leads to.
    pub fn server(&self) -> ServerId {
        self.target.server
    }

    /// The incarnation of the server that it leads to.
    pub fn incarnation(&self) -> Incarnation {
        self.target.incarnation
    }

    /// The state of its socket.
    pub fn wire(&self) -> &Rc<WireState> {
        &self.wire
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// If the connection breaks before that.
    pub async fn send_request(&mut self, request: Request<Full<Bytes>>) -> hyper::Result<Response<Incoming>> {
        self.sender.send_request(request).await
    }

    /// Whether it can carry a request now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Waits until it can carry a request.
    ///
    /// # Errors
    ///
    /// If the connection is closed instead.
    pub async fn ready(&mut self) -> hyper::Result<()> {
        self.sender.ready().await
    }

    /// Whether it has been closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Marks it as idle from now on. The limit on the time to write its last request no longer applies.
    pub fn mark_idle(&mut self) {
        self.idle_since = Instant::now();
        self.wire.set_write_by(None);
    }

    /// When it became idle.
    pub fn idle_since(&self) -> Instant {
        self.idle_since
    }

    /// When it has settled after its last answer.
    pub fn settled_at(&self) -> Instant {
        self.idle_since + SETTLE_TIME
    }

    /// Whether it has settled after its last answer.
    pub fn has_settled(&self) -> bool {
        self.idle_since.elapsed() >= SETTLE_TIME
    }
}
