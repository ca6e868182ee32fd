//! The requests that still need a final response.

use crate::request::{ClientRequest, FinalResponse, SubmittedRequest};
use balancer_core::{AttemptId, AttemptNumber, Outcome, RequestId};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::oneshot;

/// The state of a pending request.
struct PendingRequest {
    request: Rc<ClientRequest>,
    response_sender: oneshot::Sender<FinalResponse>,
    attempts_started: u32,
    /// Whether the attempt that ended last timed out; `false` if no attempt has ended.
    last_attempt_timed_out: bool,
}

/// A request that is no longer pending.
pub struct ClosedRequest {
    /// The sender for the final response.
    pub response_sender: oneshot::Sender<FinalResponse>,
    /// The number of attempts that were started for the request.
    pub attempts_started: u32,
}

/// The next attempt of a request, which has been assigned its number.
pub struct NextAttempt {
    /// The id of the attempt.
    pub id: AttemptId,
    /// The client's request.
    pub request: Rc<ClientRequest>,
}

/// The pending requests, by id.
#[derive(Default)]
pub struct PendingRequests {
    next_id: u64,
    requests: HashMap<RequestId, PendingRequest>,
}

impl PendingRequests {
    /// Adds a request and assigns an id to it. The returned handle receives the final response.
    pub fn open(&mut self, request: Rc<ClientRequest>) -> SubmittedRequest {
        let (response_sender, receiver) = oneshot::channel();
        let id = RequestId(self.next_id);
        self.next_id += 1;
        let pending =
            PendingRequest { request, response_sender, attempts_started: 0, last_attempt_timed_out: false };
        self.requests.insert(id, pending);
        SubmittedRequest { id, response: receiver }
    }

    /// Returns whether a request is pending.
    pub fn contains(&self, id: RequestId) -> bool {
        self.requests.contains_key(&id)
    }

    /// Returns whether a request is pending and its attempt that ended last timed out.
    pub fn last_attempt_timed_out(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(|pending| pending.last_attempt_timed_out)
    }

    /// Removes a request, or returns `None` if it was not pending.
    pub fn remove(&mut self, id: RequestId) -> Option<ClosedRequest> {
        let removed = self.requests.remove(&id)?;
        Some(ClosedRequest {
            response_sender: removed.response_sender,
            attempts_started: removed.attempts_started,
        })
    }

    /// Assigns a number to the next attempt of a request, or returns `None` if the request is not pending.
    pub fn next_attempt(&mut self, id: RequestId) -> Option<NextAttempt> {
        let pending = self.requests.get_mut(&id)?;
        let attempt = AttemptNumber(pending.attempts_started);
        pending.attempts_started += 1;
        Some(NextAttempt { id: AttemptId { request: id, attempt }, request: pending.request.clone() })
    }

    /// Records the outcome of an attempt. Has no effect if the request is not pending.
    pub fn record_attempt_outcome(&mut self, id: RequestId, outcome: Outcome) {
        if let Some(pending) = self.requests.get_mut(&id) {
            pending.last_attempt_timed_out = outcome == Outcome::TimedOut;
        }
    }
}
