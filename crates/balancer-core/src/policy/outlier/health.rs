//! The health of one server, derived from the outcomes of its attempts.

use super::ejection::Ejection;
use crate::{Outcome, Time};

/// The consecutive failures, the last response and the ejection of one server.
pub struct ServerHealth {
    /// Failures since the last success or the end of the last ejection.
    consecutive_failures: u32,
    /// When the server last sent a response of any kind, or reset a connection. Before the first response,
    /// the time at which this record was created.
    last_response_at: Time,
    /// The probe schedule while the server is ejected.
    ejection: Option<Ejection>,
}

impl ServerHealth {
    /// Creates the health of a server that has not received any attempt yet.
    pub fn new(now: Time) -> Self {
        ServerHealth { consecutive_failures: 0, last_response_at: now, ejection: None }
    }

    /// Returns the health of a server that has just started a new process.
    ///
    /// The time of the last response is kept, because attempts to the previous process may still be in
    /// flight. That time shows whether the server has responded since such an attempt was sent.
    pub fn restarted(&self) -> Self {
        ServerHealth::new(self.last_response_at)
    }

    /// Records the outcome of an attempt. A rejection does not count as a failure, because the concurrency
    /// limit already reduces the number of requests to a server that rejects them.
    pub fn record(&mut self, now: Time, outcome: Outcome) {
        match outcome {
            Outcome::Success => {
                self.consecutive_failures = 0;
                self.last_response_at = now;
            }
            Outcome::Rejected => self.last_response_at = now,
            Outcome::ServerError | Outcome::ConnectionReset => {
                self.consecutive_failures += 1;
                self.last_response_at = now;
            }
            Outcome::ConnectFailed => self.consecutive_failures += 1,
            Outcome::NotSent | Outcome::Cancelled | Outcome::TimedOut => {}
        }
    }

    /// Records that a part of a response has arrived.
    pub fn record_response_progress(&mut self, now: Time) {
        self.last_response_at = now;
    }

    /// Returns the number of failures since the last success or the end of the last ejection.
    pub fn consecutive_failures(&self) -> u32 {
        self.consecutive_failures
    }

    /// Returns whether the server has responded in any way after `time`.
    pub fn has_responded_after(&self, time: Time) -> bool {
        self.last_response_at > time
    }

    /// Returns whether the last response of the server came before `time`.
    pub fn is_silent_since(&self, time: Time) -> bool {
        self.last_response_at < time
    }

    /// Returns whether the server is ejected.
    pub fn is_ejected(&self) -> bool {
        self.ejection.is_some()
    }

    /// Returns whether a request may be sent now: the server is not ejected, or the request may probe it.
    pub fn allows_request(&self, now: Time, is_idempotent: bool) -> bool {
        self.ejection.as_ref().is_none_or(|ejection| ejection.is_probe_due(now, is_idempotent))
    }

    /// Records that a request is sent to the server. Returns `true` if the request is a probe of an ejected
    /// server.
    pub fn record_send(&mut self) -> bool {
        let Some(ejection) = &mut self.ejection else { return false };
        ejection.start_probe();
        true
    }

    /// Ejects the server.
    pub(super) fn eject(&mut self, now: Time) {
        self.ejection = Some(Ejection::new(now));
    }

    /// Ends the server's ejection and resets its failure count.
    pub(super) fn recover(&mut self) {
        self.ejection = None;
        self.consecutive_failures = 0;
    }

    /// Records that a probe has failed. Does nothing if the server is not ejected.
    pub(super) fn record_probe_failure(&mut self, now: Time) {
        if let Some(ejection) = &mut self.ejection {
            ejection.record_probe_failure(now);
        }
    }
}

#[cfg(test)]
mod tests;
