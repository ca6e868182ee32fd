//! A client connection, and the loop that serves its requests until the connection is closed: by the client,
//! at a time limit, by an eviction, or during a shutdown.

use super::eviction::EvictionRank;
use super::invalid_request::InvalidRequest;
use super::rejection::reject_partial_request;
use super::response::ClientResponse;
use super::shutdown::ShutdownSignal;
use super::slot_usage::SlotUsage;
use super::time_limits::{TimeLimits, CLOSE_TIMEOUT};
use crate::framing::{ClientStream, ConnectionState, FramingFault, Phase, MAX_HEAD_BYTES};
use crate::memory::{MemoryBudget, Reservation};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::Service;
use hyper::Request;
use std::convert::Infallible;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::{sleep_until, timeout, Instant};

/// The interval at which a connection's time limit is computed again. The limit changes with the connection's
/// phase and with the number of other connections.
const LIMIT_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The id of a connection. Ids are not reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
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
    /// The connection was closed in this phase to make room for another one.
    Evicted(Phase),
    /// There was no memory for the head of a request.
    OutOfMemory,
}

impl CloseReason {
    /// Returns the reason for which a request that has been received only in part is rejected, or `None` if
    /// the connection has no such request.
    fn rejection(self) -> Option<InvalidRequest> {
        match self {
            CloseReason::TimedOut(Phase::Receiving) => Some(InvalidRequest::RequestTimeout),
            CloseReason::Evicted(Phase::Receiving) | CloseReason::OutOfMemory => {
                Some(InvalidRequest::NoCapacity)
            }
            CloseReason::Finished | CloseReason::TimedOut(_) | CloseReason::Evicted(_) => None,
        }
    }
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
    /// Creates the state of a connection that has got a slot. Its memory is `connection_memory`, and its
    /// client connected at `connected_at` at the earliest.
    pub fn new(
        id: ConnectionId,
        memory: MemoryBudget,
        connection_memory: Reservation,
        connected_at: Instant,
    ) -> Self {
        ClientConnection {
            id,
            state: ConnectionState::new(connected_at),
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

    /// Requests the eviction of the connection. The task that serves the connection then closes it, unless
    /// what has been received by then no longer permits it.
    pub fn request_eviction(&self) {
        self.eviction_requested.notify_one();
    }

    /// Serves the requests that are received over the stream, until the connection is closed.
    ///
    /// The connection is closed when the client closes it, a time limit expires, or it is evicted. During a
    /// shutdown, it is closed after its last response. A request that has been received only in part is
    /// rejected before. Returns why the connection is closed. `slot_usage` returns the current slot usage.
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
        let limits = TimeLimits::new(&self.state, longest_timeout);
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES).max_header_size(MAX_HEAD_BYTES);
        let stream = ClientStream::new(stream, self.state.clone(), self.memory.clone());
        let mut http_connection = builder.serve_connection(stream, service);
        let reason = self.serve_until_close(&mut http_connection, &limits, slot_usage, shutdown).await;
        if let Some(rejection) = reason.rejection() {
            self.reject(http_connection.into_parts().io, rejection, reason).await;
        }
        reason
    }

    /// Serves requests until the connection is to be closed. Returns the reason.
    async fn serve_until_close<S>(
        &self,
        http_connection: &mut http1::Connection<ClientStream, S>,
        limits: &TimeLimits,
        slot_usage: impl Fn() -> SlotUsage,
        shutdown: &ShutdownSignal,
    ) -> CloseReason
    where
        S: Service<Request<Incoming>, Response = ClientResponse, Error = Infallible>,
    {
        let mut http_connection = Pin::new(http_connection);
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
                () = self.out_of_memory() => return CloseReason::OutOfMemory,
                () = self.eviction_due() => {
                    if EvictionRank::of(&self.state).is_some() {
                        return CloseReason::Evicted(self.state.phase());
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

    /// Waits until there is no memory for a request's head. Only the reader of the connection can record
    /// that, so this is polled after it and needs no waker.
    async fn out_of_memory(&self) {
        let is_out_of_memory = || self.state.framing_fault() == Some(FramingFault::OutOfMemory);
        poll_fn(|_| if is_out_of_memory() { Poll::Ready(()) } else { Poll::Pending }).await;
    }

    /// Waits until an eviction is requested, and until the runtime has noticed the bytes that had arrived by
    /// then.
    async fn eviction_due(&self) {
        self.eviction_requested.notified().await;
        yield_now().await;
    }

    /// Rejects the request that is being received, and waits for the client to close the connection unless
    /// the connection is needed for another client.
    async fn reject(&self, stream: ClientStream, rejection: InvalidRequest, reason: CloseReason) {
        let linger = match reason {
            CloseReason::Evicted(_) => Duration::ZERO,
            CloseReason::Finished | CloseReason::TimedOut(_) | CloseReason::OutOfMemory => CLOSE_TIMEOUT,
        };
        // The connection is closed whether or not the client has received the response.
        tokio::select! {
            biased;
            _ = timeout(linger, reject_partial_request(stream, &self.state, rejection)) => {}
            () = self.eviction_requested.notified() => {}
        }
    }

    /// Returns whether a shutdown must wait for a request before it may close the connection: for the first
    /// request, or for the rest of one that has been received in part. The connection is closed after the
    /// response to that request.
    fn is_awaiting_request(&self) -> bool {
        matches!(self.state.phase(), Phase::Silent | Phase::Receiving)
    }
}
