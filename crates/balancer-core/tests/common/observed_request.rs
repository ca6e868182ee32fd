//! What the rule checker knows about a request and its attempts.

use balancer_core::{CellId, Outcome, Request, Span, Time, ZoneId};

/// A final answer up to this long after the client's deadline is still in time.
const ANSWER_GRACE: Span = Span::from_millis(20);
/// A request with this cost hint is one unit of work.
const USUAL_COST_MS: f64 = 40.0;

/// An attempt that the balancer has sent.
#[derive(Debug, Clone)]
pub struct ObservedAttempt {
    pub sent_at: Time,
    pub zone: ZoneId,
    pub cell: CellId,
    /// `None` while it is in flight.
    pub outcome: Option<Outcome>,
}

impl ObservedAttempt {
    pub fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    pub fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.proves_not_run())
    }
}

/// A request that was submitted to the balancer.
#[derive(Debug)]
pub struct ObservedRequest {
    /// The index of its class in the settings.
    pub class: usize,
    /// Its work by its cost hint, in requests of the usual cost.
    pub work: f64,
    pub deadline: Time,
    pub attempts: Vec<ObservedAttempt>,
    pub is_finished: bool,
    /// Whether its response has begun to stream, so that it can't be sent again.
    pub is_streaming: bool,
}

impl ObservedRequest {
    pub fn new(now: Time, request: &Request) -> Self {
        ObservedRequest {
            class: request.class.0,
            work: request.cost_hint.map_or(1.0, |hint| hint.as_millis_f64() / USUAL_COST_MS),
            deadline: now + request.time_left,
            attempts: Vec::new(),
            is_finished: false,
            is_streaming: false,
        }
    }

    /// Records the end of an attempt; only the first end of an attempt counts.
    pub fn end_attempt(&mut self, index: usize, outcome: Outcome, is_request_finished: bool) {
        if let Some(attempt) = self.attempts.get_mut(index) {
            attempt.outcome.get_or_insert(outcome);
        }
        self.is_finished |= is_request_finished;
    }

    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(ObservedAttempt::is_in_flight)
    }

    pub fn first_attempt_that_may_have_run(&self) -> Option<&ObservedAttempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_run())
    }

    /// Whether it is too late for a final answer.
    pub fn is_overdue(&self, now: Time) -> bool {
        now > self.deadline + ANSWER_GRACE
    }

    /// Whether it has no final answer and it is too late for one.
    pub fn is_lost(&self, now: Time) -> bool {
        !self.is_finished && !self.is_streaming && self.is_overdue(now)
    }
}
