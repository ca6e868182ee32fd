//! What the rule checker knows of a request and its attempts.

use balancer_core::{CellId, Outcome, Request, Span, Time, ZoneId};

/// Time past the client's deadline in which a final answer still counts.
const ANSWER_GRACE: Span = Span(20_000);
/// A request with this cost hint counts as one of the usual size.
const USUAL_COST_MS: f64 = 40.0;

/// An attempt that the balancer has sent.
#[derive(Debug, Clone)]
pub struct ObservedAttempt {
    pub sent_at: Time,
    pub zone: ZoneId,
    pub cell: CellId,
    /// None while it is in flight.
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

/// A request that the balancer was given.
#[derive(Debug)]
pub struct ObservedRequest {
    /// Index of its class in the settings.
    pub class: usize,
    /// In requests of the usual size, by the cost hint.
    pub work: f64,
    pub deadline: Time,
    pub attempts: Vec<ObservedAttempt>,
    pub is_finished: bool,
    pub is_bound_to_stream: bool,
}

impl ObservedRequest {
    pub fn new(now: Time, request: &Request) -> Self {
        ObservedRequest {
            class: request.class.0,
            work: request.cost_hint.map_or(1.0, |hint| hint.as_millis_f64() / USUAL_COST_MS),
            deadline: now + request.time_left,
            attempts: Vec::new(),
            is_finished: false,
            is_bound_to_stream: false,
        }
    }

    /// Takes in the end of an attempt; only its first outcome counts.
    pub fn end_attempt(&mut self, number: usize, outcome: Outcome, is_request_finished: bool) {
        if let Some(attempt) = self.attempts.get_mut(number) {
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

    /// Whether its final answer is overdue and has not come.
    pub fn is_lost(&self, now: Time) -> bool {
        !self.is_finished && !self.is_bound_to_stream && self.is_overdue(now)
    }
}
