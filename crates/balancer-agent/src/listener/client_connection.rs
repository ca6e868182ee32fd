//! A client connection, and the loop that serves its requests until the connection is closed: by the client,
//! at a time limit, by an eviction, or during a shutdown.

use super::response::ClientResponse;
use super::shutdown::ShutdownSignal;
use super::slot_usage::SlotUsage;
use super::time_limits::TimeLimits;
use crate::framing::{ClientStream, ConnectionState, Phase, MAX_HEAD_BYTES};
use crate::memory::{MemoryBudget, Reservation};
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

/// The interval at which a connection's time limit is computed again. The limit changes with the connection's
/// phase and with the number of other connections.
const LIMIT_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The id of a connection. Ids are not reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct ConnectionId(u64);

impl ConnectionId {
    /// Returns the id of the connection that is accepted after this one.
    pub fn next(self) -> Self {
        ConnectionId(self.0 + 1)
    }
}

/// Why the agent has stopped serving a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// The client has closed the connection or sent malformed bytes, or the last response has been written.
    Finished,
    /// The connection exceeded the time limit of this phase.
    TimedOut(Phase),
    /// The connection was closed to make room for another one.
    Evicted,
}

/// A client connection that has been accepted. The task that serves the connection and the connection table
/// share this value.
pub struct ClientConnection {
    id: ConnectionId,
    state: Rc<ConnectionState>,
    /// The budget that longer heads than the connection has memory for take their memory from.
    memory: MemoryBudget,
    _connection_memory: Reservation,
    /// The signal that an eviction has been requested, for the task that serves the connection.
    eviction_requested: Notify,
}

impl ClientConnection {
    /// Creates the state of a connection that has just been accepted, whose memory is `connection_memory`.
    pub fn new(id: ConnectionId, memory: MemoryBudget, connection_memory: Reservation) -> Self {
        ClientConnection {
            id,
            state: ConnectionState::new(),
            memory,
            _connection_memory: connection_memory,
            eviction_requested: Notify::new(),
        }
    }

    /// Returns the connection's id in the connection table.
    pub fn id(&self) -> ConnectionId {
        self.id
    }

    /// Returns the connection's state in the exchange of requests and responses.
    pub fn state(&self) -> &Rc<ConnectionState> {
        &self.state
    }

    /// Requests the eviction of the connection. The task that serves the connection then closes it, unless at
    /// least a part of a request has been received by then.
    pub fn request_eviction(&self) {
        self.eviction_requested.notify_one();
    }

    /// Serves the requests that are received over the stream, until the connection is closed.
    ///
    /// The connection is closed when the client closes it, a time limit expires, or it is evicted. During a
    /// shutdown, it is closed after its last response. Returns why it is closed. `slot_usage` returns the current slot usage.
    pub async fn serve<S>(
        &self,
        stream: TcpStream,
        service: S,
        slot_usage: impl Fn() -> SlotUsage,
        shutdown: &ShutdownSignal,
        longest_timeout: Duration,
    ) -> CloseReason
    where
        S: Service<Request<Incoming>, Response = ClientResponse, Error = Infallible>,
    {
        let limits = TimeLimits::starting_now(longest_timeout);
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES).max_header_size(MAX_HEAD_BYTES);
        let stream = ClientStream::new(stream, self.state.clone(), self.memory.clone());
        let mut http_connection = pin!(builder.serve_connection(stream, service));
        let mut is_shutting_down = false;
        loop {
            let limit = limits.current(&self.state, slot_usage(), shutdown.schedule());
            let now = Instant::now();
            if limit.is_some_and(|limit| now >= limit) {
                return CloseReason::TimedOut(self.state.phase());
            }
            let next_check = now + LIMIT_CHECK_INTERVAL;
            let wake_at = limit.map_or(next_check, |limit| limit.min(next_check));
            // The select is biased, so that received bytes are read before the phase is evaluated.
            tokio::select! {
                biased;
                // An error means that the client has disconnected or has sent malformed bytes. Either affects
                // only this connection.
                _ = http_connection.as_mut() => return CloseReason::Finished,
                () = self.eviction_requested.notified() => {
                    if !self.has_request() {
                        return CloseReason::Evicted;
                    }
                }
                _ = shutdown.started(), if !is_shutting_down => {
                    is_shutting_down = true;
                    if !self.is_awaiting_request() {
                        http_connection.as_mut().graceful_shutdown();
                    }
                }
                () = sleep_until(wake_at) => {}
            }
        }
    }

    /// Returns whether a request has been received at least in part, and its response is not written yet.
    fn has_request(&self) -> bool {
        match self.state.phase() {
            Phase::Receiving | Phase::Processing | Phase::Responding => true,
            Phase::Silent | Phase::Idle | Phase::Closing => false,
        }
    }

    /// Returns whether a shutdown must wait for a request before it may close the connection: for the first
    /// request, or for the rest of one that has been received in part. The connection is closed after the
    /// response to that request.
    fn is_awaiting_request(&self) -> bool {
        matches!(self.state.phase(), Phase::Silent | Phase::Receiving)
    }
}
