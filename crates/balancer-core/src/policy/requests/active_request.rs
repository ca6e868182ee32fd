//! The record of a request that has no final answer yet.

use crate::policy::fleet::ServerIndex;
use crate::{CellId, ClassId, Request, Time, ZoneId};

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
    /// An answer after this has no value any more, or less of it.
    pub objective_deadline: Time,
    pub attempts: Vec<Attempt>,
    /// Its answer has begun to stream, so no other attempt can answer it.
    pub is_bound_to_stream: bool,
    /// Its tenant had used up its share when it arrived.
    pub is_over_share: bool,
}

impl ActiveRequest {
    /// Its class.
    pub fn class(&self) -> ClassId {
        self.request.class
    }

    /// Whether an attempt of it has not ended.
    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.state == AttemptState::InFlight)
    }
}
