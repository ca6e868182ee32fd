//! The record of a request that has not had its final response yet.

use crate::policy::fleet::ServerIndex;
use crate::{CellId, ClassId, Request, Time, ZoneId};

/// What is known about whether an attempt ran on its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptState {
    /// The attempt has not ended.
    InFlight,
    /// The attempt has ended and certainly never ran.
    DidNotRun,
    /// The attempt has ended, but may have run or may still be running.
    MayHaveRun,
}

/// An attempt of a request, in flight or ended.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// The server that the attempt was sent to.
    pub server: ServerIndex,
    /// The zone of the server.
    pub zone: ZoneId,
    /// The cell of the server.
    pub cell: CellId,
    /// When the attempt was sent.
    pub sent_at: Time,
    /// What is known about whether the attempt ran.
    pub state: AttemptState,
}

/// The record of an accepted request. The record is dropped when the request gets its final response or the
/// client disconnects.
pub struct ActiveRequest {
    /// The request as the client sent it.
    pub request: Request,
    /// When the client stops waiting for the response.
    pub deadline: Time,
    /// When the latency objective ends. A later response has less value, or none.
    pub objective_deadline: Time,
    /// All attempts so far, in flight and ended, by attempt number.
    pub attempts: Vec<Attempt>,
    /// Whether a response has begun to stream. No other attempt can serve the request from then on.
    pub is_bound_to_stream: bool,
    /// Whether the request exceeded its tenant's share when it arrived.
    pub is_over_share: bool,
}

impl ActiveRequest {
    /// Returns the class of the request.
    pub fn class(&self) -> ClassId {
        self.request.class
    }

    /// Returns whether any attempt of the request is in flight.
    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.state == AttemptState::InFlight)
    }
}
