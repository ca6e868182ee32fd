//! What a client's connection is doing, shared by its socket and its owner.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::task::Waker;
use tokio::time::Instant;

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Nothing has come over it yet.
    Silent,
    /// A request is on its way.
    Receiving,
    /// A request is complete and has no answer yet.
    Processing,
    /// Its answer is decided and not yet written completely.
    Answering,
    /// All that came has its answer.
    Idle,
    /// Its sending has ended; what still comes is read and thrown away.
    Closing,
}

/// What a connection's socket and its owner know of each other.
pub struct ConnectionState {
    phase: Cell<Phase>,
    phase_since: Cell<Instant>,
    has_ambiguous_length: Cell<bool>,
    has_excess: Cell<bool>,
    is_answer_written: Cell<bool>,
    has_answered: Cell<bool>,
    reader: RefCell<Option<Waker>>,
}

impl ConnectionState {
    /// The state of a connection that has just been accepted.
    pub fn new() -> Rc<Self> {
        Rc::new(ConnectionState {
            phase: Cell::new(Phase::Silent),
            phase_since: Cell::new(Instant::now()),
            has_ambiguous_length: Cell::new(false),
            has_excess: Cell::new(false),
            is_answer_written: Cell::new(false),
            has_answered: Cell::new(false),
            reader: RefCell::new(None),
        })
    }

    /// What the connection is doing.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// When it began to do that.
    pub fn phase_since(&self) -> Instant {
        self.phase_since.get()
    }

    /// Enters a phase. What still comes of a request that is answered already does not open it again.
    pub fn enter(&self, phase: Phase) {
        let present = self.phase.get();
        let ends_answer = matches!(phase, Phase::Idle | Phase::Closing);
        if present != phase && (present != Phase::Answering || ends_answer) {
            self.phase.set(phase);
            self.phase_since.set(Instant::now());
        }
    }

    /// The present request's length can be read in two ways; nothing behind its head is passed on.
    pub fn has_ambiguous_length(&self) -> bool {
        self.has_ambiguous_length.get()
    }

    /// Marks the present request's length as ambiguous.
    pub fn set_ambiguous_length(&self) {
        self.has_ambiguous_length.set(true);
    }

    /// More came behind the present request than is kept: its answer has to be the connection's last.
    pub fn has_excess(&self) -> bool {
        self.has_excess.get()
    }

    /// Marks that more came than is kept.
    pub fn set_excess(&self) {
        self.has_excess.set(true);
    }

    /// The present request's answer is decided.
    pub fn answer_decided(&self) {
        self.enter(Phase::Answering);
    }

    /// All that was to be written has been; after an answer the next request may be read.
    pub fn flushed(&self) {
        if self.phase.get() != Phase::Answering {
            return;
        }
        self.enter(Phase::Idle);
        self.is_answer_written.set(true);
        self.has_answered.set(true);
        if let Some(reader) = self.reader.borrow_mut().take() {
            reader.wake();
        }
    }

    /// Whether an answer has been written over the connection.
    pub fn has_answered(&self) -> bool {
        self.has_answered.get()
    }

    /// Whether an answer has been written since the last read.
    pub fn is_answer_written(&self) -> bool {
        self.is_answer_written.get()
    }

    /// The same, and from here on none has.
    pub fn take_answer_written(&self) -> bool {
        self.is_answer_written.take()
    }

    /// Wakes this reader when an answer has been written.
    pub fn wake_after_answer(&self, reader: Waker) {
        *self.reader.borrow_mut() = Some(reader);
    }
}
