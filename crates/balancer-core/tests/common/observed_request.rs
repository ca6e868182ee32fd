//! The state of a request and its attempts as the rule checker has observed it.

use balancer_core::{CellId, Outcome, Request, Span, Time, ZoneId};

/// How long after the client's deadline a final response still counts as in time.
const FINAL_RESPONSE_GRACE: Span = Span::from_millis(20);
/// The cost hint of a request that counts as one unit of work.
const TYPICAL_COST_MS: f64 = 40.0;

/// An attempt that the balancer has sent.
#[derive(Debug, Clone)]
pub struct ObservedAttempt {
    /// When the attempt was sent.
    pub sent_at: Time,
    /// The zone of the server that the attempt was sent to.
    pub zone: ZoneId,
    /// The cell of the server that the attempt was sent to.
    pub cell: CellId,
    /// How the attempt ended; `None` while it is in flight.
    pub outcome: Option<Outcome>,
}

impl ObservedAttempt {
    /// Returns whether the attempt has not ended.
    pub fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    /// Returns whether the server may have run the request. An attempt in flight may have run.
    pub fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.proves_not_run())
    }
}

/// A request that was submitted to the balancer.
#[derive(Debug)]
pub struct ObservedRequest {
    /// The index of the request's class in the settings.
    pub class: usize,
    /// The work that the cost hint states, as a multiple of [`TYPICAL_COST_MS`]; 1 without a cost hint.
    pub work: f64,
    /// The client's deadline for the final response.
    pub deadline: Time,
    /// All attempts, by their numbers.
    pub attempts: Vec<ObservedAttempt>,
    /// Whether the request needs no final response any more: it has had one, or its client has disconnected.
    pub is_finished: bool,
    /// Whether the response has begun to stream. The request must not be sent again after that.
    pub is_streaming: bool,
}

impl ObservedRequest {
    /// Creates the state of a request that arrives at `now`.
    pub fn new(now: Time, request: &Request) -> Self {
        ObservedRequest {
            class: request.class.0,
            work: request.cost_hint.map_or(1.0, |hint| hint.as_millis_f64() / TYPICAL_COST_MS),
            deadline: now + request.time_left,
            attempts: Vec::new(),
            is_finished: false,
            is_streaming: false,
        }
    }

    /// Records the end of an attempt. Of several ends of one attempt, only the first outcome counts.
    pub fn end_attempt(&mut self, index: usize, outcome: Outcome, is_request_finished: bool) {
        if let Some(attempt) = self.attempts.get_mut(index) {
            attempt.outcome.get_or_insert(outcome);
        }
        self.is_finished |= is_request_finished;
    }

    /// Returns whether the request has an attempt in flight.
    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(ObservedAttempt::is_in_flight)
    }

    /// Returns the first attempt that may have run the request, or `None` if no attempt can have run it.
    pub fn first_attempt_that_may_have_run(&self) -> Option<&ObservedAttempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_run())
    }

    /// Returns whether it is too late for a final response.
    pub fn is_overdue(&self, now: Time) -> bool {
        now > self.deadline + FINAL_RESPONSE_GRACE
    }

    /// Returns whether the request has had no final response and it is too late for one. A request whose
    /// response has begun to stream is not lost.
    pub fn is_lost(&self, now: Time) -> bool {
        !self.is_finished && !self.is_streaming && self.is_overdue(now)
    }
}
