//! The state machine of a client connection, shared by its socket and the task that serves it.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::task::Waker;
use tokio::time::Instant;

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// No byte has been received yet.
    Silent,
    /// A request has been received in part.
    Receiving,
    /// A request has been received completely, and its answer is pending.
    Processing,
    /// The answer is decided and has not been written completely.
    Answering,
    /// Every request is answered, and nothing of another one has been read.
    Idle,
    /// The sending side is shut down; further bytes are read and discarded.
    Closing,
}

/// Why no further request can be read from a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FramingFault {
    /// The body length of the current request can be read in two ways.
    AmbiguousLength,
    /// More bytes followed the current request than are buffered.
    ExcessBytes,
}

/// How far the last answer on a connection has been handled.
#[derive(Clone, Copy, PartialEq, Eq)]
enum LastAnswer {
    /// No answer has been written yet.
    None,
    /// It has been written, and the socket has not been read since.
    Written,
    /// It has been written, and the next request may be read.
    Acknowledged,
}

/// The state of one client connection. Each method that changes it is named for the event that it records.
pub struct ConnectionState {
    phase: Cell<Phase>,
    phase_since: Cell<Instant>,
    last_answer: Cell<LastAnswer>,
    framing_fault: Cell<Option<FramingFault>>,
    /// The reader that waits for the answer before it can read the next request.
    waiting_reader: RefCell<Option<Waker>>,
}

impl ConnectionState {
    /// The state of a connection that has just been accepted.
    pub fn new() -> Rc<Self> {
        Rc::new(ConnectionState {
            phase: Cell::new(Phase::Silent),
            phase_since: Cell::new(Instant::now()),
            last_answer: Cell::new(LastAnswer::None),
            framing_fault: Cell::new(None),
            waiting_reader: RefCell::new(None),
        })
    }

    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// When the current phase began.
    pub fn phase_since(&self) -> Instant {
        self.phase_since.get()
    }

    /// Whether an answer has been written on the connection.
    pub fn has_answered(&self) -> bool {
        self.last_answer.get() != LastAnswer::None
    }

    /// Why no further request can be read, if that is so.
    pub fn framing_fault(&self) -> Option<FramingFault> {
        self.framing_fault.get()
    }

    /// Records that a part of a request has been received.
    pub fn request_bytes_received(&self) {
        match self.phase.get() {
            Phase::Silent | Phase::Idle => self.enter(Phase::Receiving),
            Phase::Receiving | Phase::Processing | Phase::Answering | Phase::Closing => {}
        }
    }

    /// Records that a request has been received completely. The end of a request that was answered early does
    /// not make its answer pending again.
    pub fn request_completed(&self) {
        if self.phase.get() == Phase::Receiving {
            self.enter(Phase::Processing);
        }
    }

    /// Records that the body length of the current request can be read in two ways.
    pub fn ambiguous_length_found(&self) {
        self.framing_fault.set(Some(FramingFault::AmbiguousLength));
    }

    /// Records that bytes after the current request have been dropped.
    pub fn excess_bytes_dropped(&self) {
        self.framing_fault.set(Some(FramingFault::ExcessBytes));
    }

    /// Records that the answer to the current request is decided.
    pub fn answer_decided(&self) {
        self.enter(Phase::Answering);
    }

    /// Records that all output so far has been written. If that includes the answer, the connection becomes
    /// idle, and its reader is woken.
    pub fn output_flushed(&self) {
        if self.phase.get() != Phase::Answering {
            return;
        }
        self.enter(Phase::Idle);
        self.last_answer.set(LastAnswer::Written);
        let reader = self.waiting_reader.take();
        if let Some(reader) = reader {
            reader.wake();
        }
    }

    /// Records that the socket is read again. Returns whether an answer has been written since the last read,
    /// so that the next request may be read.
    pub fn acknowledge_answer(&self) -> bool {
        let is_written = self.last_answer.get() == LastAnswer::Written;
        if is_written {
            self.last_answer.set(LastAnswer::Acknowledged);
        }
        is_written
    }

    /// Records that the sending side has been shut down. Returns whether that ended the connection with an
    /// answer, which the client may not have read yet; a connection that was idle has had its answers read.
    pub fn sending_shut_down(&self) -> bool {
        let ends_with_answer = self.last_answer.get() == LastAnswer::Written;
        if ends_with_answer && self.phase.get() != Phase::Closing {
            self.enter(Phase::Closing);
        }
        ends_with_answer
    }

    /// Wakes the reader when the next answer has been written.
    pub fn wake_reader_after_answer(&self, reader: Waker) {
        self.waiting_reader.replace(Some(reader));
    }

    fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.phase_since.set(Instant::now());
    }
}

#[cfg(test)]
mod tests;
