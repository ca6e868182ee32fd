//! One client connection: serving its requests, and closing it at a time limit, an eviction or a shutdown.

use super::response::ClientResponse;
use super::shutdown::ShutdownSignal;
use super::slot_usage::SlotUsage;
use super::time_limits::TimeLimits;
use crate::framing::{ClientStream, ConnectionState, Phase, MAX_HEAD_BYTES};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::Service;
use hyper::Request;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{sleep_until, Instant};

/// How often a connection's time limit is computed anew, as it depends on the phase and on other connections.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Identifies an open connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct ConnectionId(u64);

impl ConnectionId {
    /// The id of the connection that is accepted after this one.
    pub fn next(self) -> Self {
        ConnectionId(self.0 + 1)
    }
}

/// A connection that has been accepted, shared by the task that serves it and the connection table.
pub struct ClientConnection {
    id: ConnectionId,
    state: Rc<ConnectionState>,
    eviction_requested: Notify,
}

impl ClientConnection {
    /// A connection that has just been accepted.
    pub fn new(id: ConnectionId) -> Self {
        ClientConnection { id, state: ConnectionState::new(), eviction_requested: Notify::new() }
    }

    /// Its number in the connection table.
    pub fn id(&self) -> ConnectionId {
        self.id
    }

    /// What it is doing.
    pub fn state(&self) -> &Rc<ConnectionState> {
        &self.state
    }

    /// Asks its task to close it. The task does not if a part of a request has been received by then.
    pub fn evict(&self) {
        self.eviction_requested.notify_one();
    }

    /// Serves the requests that arrive over the stream until the client closes it, a time limit expires, or
    /// it is evicted. A shutdown closes it after its last answer. `slot_usage` tells how scarce slots are
    /// now.
    pub async fn serve<S>(
        &self,
        stream: TcpStream,
        service: S,
        slot_usage: impl Fn() -> SlotUsage,
        shutdown: &ShutdownSignal,
        longest_deadline: Duration,
    ) where
        S: Service<Request<Incoming>, Response = ClientResponse, Error = Infallible>,
    {
        let limits = TimeLimits::starting_now(longest_deadline);
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES).max_header_size(MAX_HEAD_BYTES);
        let stream = ClientStream::new(stream, self.state.clone());
        let mut http_connection = pin!(builder.serve_connection(stream, service));
        let mut is_shutting_down = false;
        loop {
            let limit = limits.current(&self.state, slot_usage(), shutdown.schedule());
            let now = Instant::now();
            if limit.is_some_and(|limit| now >= limit) {
                return;
            }
            let next_check = now + CHECK_INTERVAL;
            let wake_at = limit.map_or(next_check, |limit| limit.min(next_check));
            // Biased, so that received bytes are read before the connection's phase is looked at.
            tokio::select! {
                biased;
                // An error means that the client has left or sent malformed bytes; both concern this
                // connection alone.
                _ = http_connection.as_mut() => return,
                () = self.eviction_requested.notified() => {
                    if !self.has_request() {
                        return;
                    }
                }
                _ = shutdown.started(), if !is_shutting_down => {
                    is_shutting_down = true;
                    if !self.awaits_request() {
                        http_connection.as_mut().graceful_shutdown();
                    }
                }
                () = sleep_until(wake_at) => {}
            }
        }
    }

    /// Whether a request is open or partly received.
    fn has_request(&self) -> bool {
        match self.state.phase() {
            Phase::Receiving | Phase::Processing | Phase::Answering => true,
            Phase::Silent | Phase::Idle | Phase::Closing => false,
        }
    }

    /// Whether a shutdown waits for a request on the connection: for its first one, or for one that has been
    /// received in part. The answer to it closes the connection.
    fn awaits_request(&self) -> bool {
        matches!(self.state.phase(), Phase::Silent | Phase::Receiving)
    }
}
