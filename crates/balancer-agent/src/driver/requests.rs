//! The requests of clients and their attempts.

mod attempts;
mod pending;

pub use attempts::AttemptId;

use crate::request::{ClientRequest, FinalAnswer, ServedAnswer, SubmittedRequest};
use crate::upstream::AttemptProgress;
use attempts::AttemptsInFlight;
use balancer_core::{Outcome, RequestId, Span};
use hyper::StatusCode;
use pending::PendingRequests;
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// An attempt that is ready to be sent.
pub struct StartedAttempt {
    /// Its identity.
    pub id: AttemptId,
    /// The request that is to be sent.
    pub request: Rc<ClientRequest>,
    /// Its progress, which the sending task updates.
    pub progress: Rc<AttemptProgress>,
}

/// Gives each request its one final answer, and knows its attempts. When a request closes, its attempts that
/// are not written completely are cancelled.
#[derive(Default)]
pub struct RequestTracker {
    pending: PendingRequests,
    attempts: AttemptsInFlight,
}

impl RequestTracker {
    /// Adds a request.
    pub fn open(&mut self, request: Rc<ClientRequest>) -> SubmittedRequest {
        self.pending.open(request)
    }

    /// Whether a request's answer is pending.
    pub fn is_pending(&self, id: RequestId) -> bool {
        self.pending.contains(id)
    }

    /// Closes a request whose client has disconnected. Returns false if it was closed already.
    pub fn disconnect(&mut self, id: RequestId) -> bool {
        self.close(id).is_some()
    }

    /// Answers a request with a rejection.
    pub fn reject(&mut self, id: RequestId, retry_after: Option<Span>) {
        self.answer(id, FinalAnswer::Rejected { retry_after });
    }

    /// Answers a request with a failure. The status tells whether its last attempt timed out.
    pub fn fail(&mut self, id: RequestId) {
        let has_timed_out = self.pending.last_attempt_timed_out(id);
        let status = if has_timed_out { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY };
        self.answer(id, FinalAnswer::Failed(status));
    }

    /// Starts the next attempt of a request, whose last byte must be written by `write_by` if that is set.
    /// Returns `None` if the request is closed.
    pub fn start_attempt(&mut self, id: RequestId, write_by: Option<Instant>) -> Option<StartedAttempt> {
        let next = self.pending.next_attempt(id)?;
        let progress = self.attempts.start(next.id, write_by);
        Some(StartedAttempt { id: next.id, request: next.request, progress })
    }

    /// Cancels an attempt, if it is in flight.
    pub fn cancel_attempt(&self, id: AttemptId) {
        self.attempts.cancel(id);
    }

    /// Records the end of an attempt. The first answer that a server gives is the request's answer.
    pub fn end_attempt(&mut self, id: AttemptId, outcome: Outcome, answer: Option<ServedAnswer>) {
        self.attempts.end(id);
        self.pending.record_attempt_outcome(id.request, outcome);
        if let Some(answer) = answer {
            self.answer(id.request, FinalAnswer::Served(answer));
        }
    }

    fn answer(&mut self, id: RequestId, answer: FinalAnswer) {
        if let Some(receiver) = self.close(id) {
            // If the client has just disconnected, nobody receives the answer.
            let _ = receiver.send(answer);
        }
    }

    /// Removes a request and returns where its answer is to be sent; `None` if it was closed already.
    fn close(&mut self, id: RequestId) -> Option<oneshot::Sender<FinalAnswer>> {
        let closed = self.pending.remove(id)?;
        self.attempts.cancel_unwritten(id, closed.attempts_started);
        Some(closed.answer)
    }
}

#[cfg(test)]
mod tests;
