//! Records of accepted requests and of their attempts. This module makes no decisions.

mod active_request;
mod attempts_in_flight;

pub use active_request::{ActiveRequest, Attempt, AttemptState};
pub use attempts_in_flight::{AttemptsInFlight, EndedAttempt, InFlightAttempt};
