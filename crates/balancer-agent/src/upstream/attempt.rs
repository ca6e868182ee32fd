//! An attempt's progress, which its task and the driver share, and its outcome.

use super::request_on_wire::RequestOnWire;
use crate::request::ServedAnswer;
use balancer_core::{LoadReport, Outcome};
use std::cell::{Cell, RefCell};
use tokio::sync::Notify;
use tokio::time::Instant;

/// How far an attempt has been written, and whether it has been cancelled.
#[derive(Default)]
pub struct AttemptProgress {
    /// Its last byte must be written by then, if this is set.
    write_by: Option<Instant>,
    /// Its request on a connection; `None` until it has one.
    request: RefCell<Option<RequestOnWire>>,
    is_cancelled: Cell<bool>,
    cancelled: Notify,
}

impl AttemptProgress {
    /// An attempt that has not begun. If it is not written completely by `write_by`, the rest is not written.
    pub fn new(write_by: Option<Instant>) -> Self {
        AttemptProgress { write_by, ..AttemptProgress::default() }
    }

    /// Records that the request is about to be written to a connection.
    pub fn start_writing(&self, request: RequestOnWire) {
        request.set_write_by(self.write_by);
        *self.request.borrow_mut() = Some(request);
    }

    /// Whether the server may have run the request, as its last byte may have been written.
    pub fn may_have_run(&self) -> bool {
        self.request.borrow().as_ref().is_some_and(RequestOnWire::may_be_complete)
    }

    /// Cancels the attempt. Bytes that are not written yet are not written any more.
    pub fn cancel(&self) {
        self.is_cancelled.set(true);
        if let Some(request) = &*self.request.borrow() {
            request.stop_writing();
        }
        self.cancelled.notify_one();
    }

    /// Whether the attempt has been cancelled.
    pub fn is_cancelled(&self) -> bool {
        self.is_cancelled.get()
    }

    /// Waits until the attempt is cancelled.
    pub async fn cancelled(&self) {
        self.cancelled.notified().await;
    }
}

/// The result of an attempt or a health check.
pub struct AttemptOutcome {
    /// How it ended.
    pub outcome: Outcome,
    /// The load report in the server's answer, if any.
    pub load_report: Option<LoadReport>,
    /// The complete answer, if the outcome is a success.
    pub answer: Option<ServedAnswer>,
}

impl AttemptOutcome {
    /// The result of an attempt that got no answer.
    pub fn without_answer(outcome: Outcome) -> Self {
        AttemptOutcome { outcome, load_report: None, answer: None }
    }
}
