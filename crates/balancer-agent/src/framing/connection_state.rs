//! The state machine of a client connection, which the connection's [`ClientStream`](super::ClientStream) and
//! the task that serves the connection share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::task::Waker;
use std::time::Duration;
use tokio::time::Instant;

/// How long it takes at most until bytes that a client sent before its connection was served have been read.
const MAX_FIRST_READ_TIME: Duration = Duration::from_millis(20);

/// The phase of a client connection in the exchange of requests and responses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// No byte has been received on the connection yet.
    Silent,
    /// A part of a request has been received.
    Receiving,
    /// A request has been received completely, and its response is not known yet.
    Processing,
    /// The response to the current request is known and has not been written completely.
    Responding,
    /// The responses to all requests have been written, and no byte of another request has been read.
    Idle,
    /// The agent has shut down its sending side. Further bytes from the client are read and discarded.
    Closing,
}

/// The reason why no further request can be read from a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FramingFault {
    /// The body length of the current request is ambiguous, so that its end is unknown.
    AmbiguousLength,
    /// More bytes than the framer buffers followed the current request, so some of them were dropped.
    ExcessBytes,
    /// There is no memory for the rest of the current request's head.
    OutOfMemory,
}

/// Whether a response has been written on a connection, and whether hyper has read the stream since.
#[derive(Clone, Copy, PartialEq, Eq)]
enum LastResponse {
    /// No response has been written on the connection yet.
    None,
    /// A response has been written, and hyper has not read the stream since.
    Written,
    /// A response has been written, and hyper has read the stream since.
    FollowedByRead,
}

/// The state of one client connection. Each `record_` method records an event and makes the transition that
/// follows from it.
pub struct ConnectionState {
    /// The earliest time at which the client can have connected.
    connected_at: Instant,
    /// When the agent began to read from the connection.
    served_since: Instant,
    phase: Cell<Phase>,
    phase_since: Cell<Instant>,
    last_received_at: Cell<Instant>,
    last_response: Cell<LastResponse>,
    framing_fault: Cell<Option<FramingFault>>,
    /// The waker of the reader, which reads the next request once the current response has been written.
    waiting_reader: RefCell<Option<Waker>>,
}

impl ConnectionState {
    /// Creates the state of a connection that is served from now on, and whose client connected at
    /// `connected_at` at the earliest.
    pub fn new(connected_at: Instant) -> Rc<Self> {
        Rc::new(ConnectionState {
            connected_at,
            served_since: Instant::now(),
            phase: Cell::new(Phase::Silent),
            phase_since: Cell::new(Instant::now()),
            last_received_at: Cell::new(Instant::now()),
            last_response: Cell::new(LastResponse::None),
            framing_fault: Cell::new(None),
            waiting_reader: RefCell::new(None),
        })
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Returns the time at which the current phase began.
    pub fn phase_since(&self) -> Instant {
        self.phase_since.get()
    }

    /// Returns the earliest time at which the client can have connected.
    pub fn connected_at(&self) -> Instant {
        self.connected_at
    }

    /// Returns when the last byte of the current request arrived, at the earliest. A request that waited in
    /// the socket until its connection was served counts from the connect.
    pub fn request_received_at(&self) -> Instant {
        let read_at = if self.phase.get() == Phase::Processing { self.phase_since() } else { Instant::now() };
        let may_have_waited =
            !self.has_sent_response() && read_at.duration_since(self.served_since) <= MAX_FIRST_READ_TIME;
        if may_have_waited {
            self.connected_at
        } else {
            read_at
        }
    }

    /// Returns when bytes were received last, or when the connection was accepted if there were none.
    pub fn last_received_at(&self) -> Instant {
        self.last_received_at.get()
    }

    /// Returns whether a response has been written on the connection.
    pub fn has_sent_response(&self) -> bool {
        self.last_response.get() != LastResponse::None
    }

    /// Returns the reason why no further request can be read, or `None` if the next request can be read.
    pub fn framing_fault(&self) -> Option<FramingFault> {
        self.framing_fault.get()
    }

    /// Records that bytes have been received.
    pub fn record_bytes(&self) {
        self.last_received_at.set(Instant::now());
    }

    /// Records that bytes of a request have been received.
    pub fn record_request_bytes(&self) {
        match self.phase.get() {
            Phase::Silent | Phase::Idle => self.enter(Phase::Receiving),
            Phase::Receiving | Phase::Processing | Phase::Responding | Phase::Closing => {}
        }
    }

    /// Records that a request has been received completely. This changes nothing if the response was known
    /// before the end of the request was received.
    pub fn record_request_complete(&self) {
        if self.phase.get() == Phase::Receiving {
            self.enter(Phase::Processing);
        }
    }

    /// Records that the body length of the current request is ambiguous.
    pub fn record_ambiguous_length(&self) {
        self.framing_fault.set(Some(FramingFault::AmbiguousLength));
    }

    /// Records that bytes after the current request have been dropped.
    pub fn record_excess_bytes(&self) {
        self.framing_fault.set(Some(FramingFault::ExcessBytes));
    }

    /// Records that there is no memory for the rest of the current request's head.
    pub fn record_out_of_memory(&self) {
        self.framing_fault.set(Some(FramingFault::OutOfMemory));
    }

    /// Records that the response to the current request is known and can be written.
    pub fn record_response_ready(&self) {
        self.enter(Phase::Responding);
    }

    /// Records that all output so far has been written to the socket. If the current response is part of the
    /// output, the connection becomes idle and its reader is woken.
    pub fn record_flush(&self) {
        if self.phase.get() != Phase::Responding {
            return;
        }
        self.enter(Phase::Idle);
        self.last_response.set(LastResponse::Written);
        let reader = self.waiting_reader.take();
        if let Some(reader) = reader {
            reader.wake();
        }
    }

    /// Records that hyper reads the stream. Returns whether a response has been written since the last read,
    /// so that the next request may be read.
    pub fn record_read(&self) -> bool {
        let is_written = self.last_response.get() == LastResponse::Written;
        if is_written {
            self.last_response.set(LastResponse::FollowedByRead);
        }
        is_written
    }

    /// Records that the agent has shut down its sending side. Returns whether the client may not have
    /// received the last response yet. In that case, the connection enters [`Phase::Closing`].
    ///
    /// If hyper has read the stream since that response, the connection was idle, and the client counts as
    /// having received the response.
    pub fn record_write_shutdown(&self) -> bool {
        let is_after_response = self.last_response.get() == LastResponse::Written;
        if is_after_response && self.phase.get() != Phase::Closing {
            self.enter(Phase::Closing);
        }
        is_after_response
    }

    /// Registers a reader to be woken when the next response has been written.
    pub fn wake_reader_after_response(&self, reader: Waker) {
        self.waiting_reader.replace(Some(reader));
    }

    /// Enters a phase now.
    fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.phase_since.set(Instant::now());
    }
}

#[cfg(test)]
mod tests;
