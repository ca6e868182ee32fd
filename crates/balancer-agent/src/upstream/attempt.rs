//! The progress and the result of an attempt.

use super::request_write::RequestWrite;
use crate::request::ServedResponse;
use balancer_core::{LoadReport, Outcome};
use std::cell::{Cell, RefCell};
use tokio::sync::Notify;
use tokio::time::Instant;

/// How far an attempt has been written, and whether it has been cancelled. The driver and the task that sends
/// the attempt share this state.
#[derive(Default)]
pub struct AttemptProgress {
    /// The deadline for writing the last byte of the attempt, if there is one.
    write_by: Option<Instant>,
    /// The state of the write to the connection; `None` until a connection has been acquired.
    request_write: RefCell<Option<RequestWrite>>,
    is_cancelled: Cell<bool>,
    /// Whether a part of the response has arrived since [`AttemptProgress::take_response_progress`] was called.
    has_response_progress: Cell<bool>,
    /// The notification that the attempt has been cancelled.
    cancelled: Notify,
}

impl AttemptProgress {
    /// Creates the progress of an attempt of which nothing has been written. Bytes that have not been written
    /// by `write_by` are never written.
    pub fn new(write_by: Option<Instant>) -> Self {
        AttemptProgress { write_by, ..AttemptProgress::default() }
    }

    /// Records that the request is about to be written to a connection, and sets the connection's write
    /// deadline.
    pub fn start_writing(&self, request_write: RequestWrite) {
        request_write.set_write_by(self.write_by);
        *self.request_write.borrow_mut() = Some(request_write);
    }

    /// Returns whether the server may have run the request, because the last byte may have been written.
    pub fn may_have_run(&self) -> bool {
        self.request_write.borrow().as_ref().is_some_and(RequestWrite::may_be_complete)
    }

    /// Records that a part of the response has arrived.
    pub fn record_response_progress(&self) {
        self.has_response_progress.set(true);
    }

    /// Returns whether a part of the response has arrived since the last call.
    pub fn take_response_progress(&self) -> bool {
        self.has_response_progress.take()
    }

    /// Cancels the attempt. Bytes that have not been written are never written.
    pub fn cancel(&self) {
        self.is_cancelled.set(true);
        if let Some(request_write) = &*self.request_write.borrow() {
            request_write.stop_writing();
        }
        self.cancelled.notify_one();
    }

    /// Returns whether the attempt has been cancelled.
    pub fn is_cancelled(&self) -> bool {
        self.is_cancelled.get()
    }

    /// Waits until the attempt is cancelled.
    pub async fn cancelled(&self) {
        self.cancelled.notified().await;
    }
}

/// The result of an attempt or a health check.
pub struct AttemptResult {
    /// How the attempt or the health check ended.
    pub outcome: Outcome,
    /// The load report in the server's response, if there is one.
    pub load_report: Option<LoadReport>,
    /// The complete response, if the outcome is [`Outcome::Success`].
    pub response: Option<ServedResponse>,
}

impl AttemptResult {
    /// Creates a result with neither a response nor a load report.
    pub fn without_response(outcome: Outcome) -> Self {
        AttemptResult { outcome, load_report: None, response: None }
    }
}
