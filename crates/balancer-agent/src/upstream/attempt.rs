//! An attempt as its task and the driver share it, and how it ended.

use super::counted_stream::WireState;
use crate::request::ServedAnswer;
use balancer_core::{LoadReport, Outcome};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The wire that an attempt goes over.
struct AttemptWire {
    state: Rc<WireState>,
    /// The bytes written there when the attempt's last byte is out.
    written_when_complete: u64,
}

/// How far an attempt has come.
#[derive(Default)]
pub struct AttemptProgress {
    wire: RefCell<Option<AttemptWire>>,
    /// What has not been written by then stays unwritten.
    write_by: Option<Instant>,
    is_cancelled: Cell<bool>,
    cancelled: Notify,
}

impl AttemptProgress {
    /// An attempt that has not begun.
    pub fn new(write_by: Option<Instant>) -> Self {
        AttemptProgress { write_by, ..AttemptProgress::default() }
    }

    /// Its last byte may be out: from here on it may have run.
    pub fn may_have_run(&self) -> bool {
        let wire = self.wire.borrow();
        wire.as_ref().is_some_and(|wire| wire.state.written() >= wire.written_when_complete)
    }

    /// Gives the attempt up. What has not been written stays unwritten.
    pub fn cancel(&self) {
        self.is_cancelled.set(true);
        if let Some(wire) = &*self.wire.borrow() {
            wire.state.close_writing();
        }
        self.cancelled.notify_one();
    }

    /// Whether the attempt has been given up.
    pub fn is_cancelled(&self) -> bool {
        self.is_cancelled.get()
    }

    /// Resolves when the attempt has been given up.
    pub async fn cancelled(&self) {
        self.cancelled.notified().await;
    }

    /// The attempt is about to be written over this wire; its last byte is out when so many bytes are.
    pub fn start_writing(&self, wire: &Rc<WireState>, written_when_complete: u64) {
        wire.set_write_by(self.write_by);
        *self.wire.borrow_mut() = Some(AttemptWire { state: wire.clone(), written_when_complete });
    }
}

/// How an attempt or a health check ended.
pub struct AttemptOutcome {
    /// The outcome in the balancer's terms.
    pub outcome: Outcome,
    /// The load report that came along.
    pub load_report: Option<LoadReport>,
    /// The complete answer of a served request.
    pub answer: Option<ServedAnswer>,
}

impl AttemptOutcome {
    /// An end without an answer.
    pub fn without_answer(outcome: Outcome) -> Self {
        AttemptOutcome { outcome, load_report: None, answer: None }
    }
}
