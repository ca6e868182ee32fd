//! The pending requests of clients and the attempts in flight.

mod attempts;
mod pending;

use crate::request::{ClientRequest, FinalResponse, ServedResponse, SubmittedRequest};
use crate::upstream::AttemptProgress;
use attempts::AttemptsInFlight;
use balancer_core::{AttemptId, Outcome, RequestId, Span};
use hyper::StatusCode;
use pending::PendingRequests;
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// An attempt that is tracked as in flight and that the caller must send.
pub struct StartedAttempt {
    /// The id of the attempt.
    pub id: AttemptId,
    /// The client's request.
    pub request: Rc<ClientRequest>,
    /// The progress of the attempt, which the sending task updates.
    pub progress: Rc<AttemptProgress>,
}

/// The pending requests and the attempts in flight.
///
/// A request is pending from [`RequestTracker::open`] until it is closed. It is closed by its final response,
/// or by [`RequestTracker::disconnect`] if it no longer needs one. The client receives at most one final
/// response. When a request is closed, its attempts that have not been written completely are cancelled.
#[derive(Default)]
pub struct RequestTracker {
    pending: PendingRequests,
    attempts: AttemptsInFlight,
}

impl RequestTracker {
    /// Adds a request, which is pending from now on. The returned handle receives the final response.
    pub fn open(&mut self, request: Rc<ClientRequest>) -> SubmittedRequest {
        self.pending.open(request)
    }

    /// Returns whether a request is pending.
    pub fn is_pending(&self, id: RequestId) -> bool {
        self.pending.contains(id)
    }

    /// Closes a request that no longer needs a final response. Returns `false` if the request was closed
    /// already.
    pub fn disconnect(&mut self, id: RequestId) -> bool {
        self.close(id).is_some()
    }

    /// Closes a request with a rejection as its final response. Has no effect if the request is closed
    /// already.
    pub fn reject(&mut self, id: RequestId, retry_after: Option<Span>) {
        self.respond(id, FinalResponse::Rejected { retry_after });
    }

    /// Closes a request with a failure as its final response. The status is 504 if the attempt that ended
    /// last timed out, and 502 otherwise. Has no effect if the request is closed already.
    pub fn fail(&mut self, id: RequestId) {
        let has_timed_out = self.pending.last_attempt_timed_out(id);
        let status = if has_timed_out { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY };
        self.respond(id, FinalResponse::Failed(status));
    }

    /// Starts the next attempt of a request. If `write_by` is set, it is the deadline for writing the last
    /// byte of the attempt. Returns `None` if the request is closed.
    pub fn start_attempt(&mut self, id: RequestId, write_by: Option<Instant>) -> Option<StartedAttempt> {
        let next = self.pending.next_attempt(id)?;
        let progress = self.attempts.start(next.id, write_by);
        Some(StartedAttempt { id: next.id, request: next.request, progress })
    }

    /// Cancels an attempt if it is in flight.
    pub fn cancel_attempt(&self, id: AttemptId) {
        self.attempts.cancel(id);
    }

    /// Returns the attempts whose responses have made progress since the last call.
    pub fn take_response_progress(&self) -> Vec<AttemptId> {
        self.attempts.take_response_progress()
    }

    /// Records the end of an attempt. The first successful response of a server becomes the final response to
    /// the request.
    pub fn end_attempt(&mut self, id: AttemptId, outcome: Outcome, response: Option<ServedResponse>) {
        self.attempts.end(id);
        self.pending.record_attempt_outcome(id.request, outcome);
        if let Some(response) = response {
            self.respond(id.request, FinalResponse::Served(response));
        }
    }

    /// Closes a request and sends its final response. Has no effect if the request is closed already.
    fn respond(&mut self, id: RequestId, response: FinalResponse) {
        if let Some(response_sender) = self.close(id) {
            // Sending fails if the client has just disconnected. The response is not needed then.
            let _ = response_sender.send(response);
        }
    }

    /// Removes a request and returns the sender for its final response, or `None` if the request was closed
    /// already.
    fn close(&mut self, id: RequestId) -> Option<oneshot::Sender<FinalResponse>> {
        let closed = self.pending.remove(id)?;
        self.attempts.cancel_unwritten(id, closed.attempts_started);
        Some(closed.response_sender)
    }
}

#[cfg(test)]
mod tests;
