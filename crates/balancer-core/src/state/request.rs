//! Records of accepted requests and of their attempts. Nothing is decided here.

use super::registry::ServerIndex;
use crate::{AttemptNumber, CellId, LoadReport, Outcome, Request, RequestId, Span, Time, ZoneId};

/// What is known of an attempt's effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptState {
    /// It has not ended.
    InFlight,
    /// It ended, and it is certain that it never ran.
    DidNotRun,
    /// It ended, and it may have run or still run.
    MayHaveRun,
}

/// An attempt of a request, in flight or ended.
#[derive(Debug, Clone)]
pub struct Attempt {
    pub server: ServerIndex,
    pub zone: ZoneId,
    pub cell: CellId,
    pub sent_at: Time,
    pub state: AttemptState,
}

/// The one record of an accepted request; dropped when the request has its final answer.
pub struct ActiveRequest {
    pub request: Request,
    /// Its client waits no longer than this.
    pub deadline: Time,
    /// After this an answer has no value any more, or less of it.
    pub objective_deadline: Time,
    pub attempts: Vec<Attempt>,
    /// The answer has begun to stream, so no other attempt can answer.
    pub is_bound_to_stream: bool,
    /// Its tenant had used up its share already.
    pub is_over_share: bool,
}

impl ActiveRequest {
    /// Index of its class in the settings.
    pub fn class(&self) -> usize {
        self.request.class.0
    }

    /// Whether an attempt of it has not ended.
    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.state == AttemptState::InFlight)
    }
}

/// Names an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptKey {
    pub request: RequestId,
    pub attempt: AttemptNumber,
}

/// An attempt that has not ended; it outlives its request if that ends first.
pub struct InFlightAttempt {
    pub server: ServerIndex,
    pub class: usize,
    pub sent_at: Time,
    /// It probes whether an ejected server is well again.
    pub is_probe: bool,
    /// Admission control has already counted it as slow.
    pub is_counted_slow: bool,
}

/// The end of an attempt.
pub struct EndedAttempt {
    pub key: AttemptKey,
    pub outcome: Outcome,
    pub elapsed: Span,
    pub load_report: Option<LoadReport>,
    pub is_request_finished: bool,
}
