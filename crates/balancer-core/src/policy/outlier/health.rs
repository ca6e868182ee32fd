//! What is known of one server's health.

use super::ejection::Ejection;
use crate::{Outcome, Time};

/// Failures, responses and ejection of one server.
pub struct ServerHealth {
    /// Failures in a row.
    failures: u32,
    /// When it last responded in any way.
    last_response: Time,
    ejection: Option<Ejection>,
}

impl ServerHealth {
    /// The health of a server that has not been sent anything yet.
    pub fn new(now: Time) -> Self {
        ServerHealth { failures: 0, last_response: now, ejection: None }
    }

    /// The health of a server that has just started a new process. Attempts of the previous one may still be
    /// in flight and are judged by when it last responded.
    pub fn restarted(&self) -> Self {
        ServerHealth::new(self.last_response)
    }

    /// Records how an attempt ended. A server that rejects is not unhealthy: it is only sent less.
    pub fn record(&mut self, now: Time, outcome: Outcome) {
        match outcome {
            Outcome::Success => {
                self.failures = 0;
                self.last_response = now;
            }
            Outcome::Rejected => self.last_response = now,
            Outcome::ServerError | Outcome::ConnectionReset => {
                self.failures += 1;
                self.last_response = now;
            }
            Outcome::ConnectFailed => self.failures += 1,
            Outcome::NotSent | Outcome::Cancelled | Outcome::TimedOut => {}
        }
    }

    /// Failures in a row, with no success between.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Whether the server has responded in any way after `time`.
    pub fn has_responded_after(&self, time: Time) -> bool {
        self.last_response > time
    }

    /// Whether the server's last response came before `time`.
    pub fn is_silent_since(&self, time: Time) -> bool {
        self.last_response < time
    }

    /// Whether the server is ejected.
    pub fn is_ejected(&self) -> bool {
        self.ejection.is_some()
    }

    /// Whether a request may be sent: the server is not ejected, or the request may probe it now.
    pub fn allows_request(&self, now: Time, is_idempotent: bool) -> bool {
        self.ejection.as_ref().is_none_or(|ejection| ejection.is_probe_due(now, is_idempotent))
    }

    /// Notes that a request is sent; true if it is a probe of an ejected server.
    pub fn start_request(&mut self) -> bool {
        let Some(ejection) = &mut self.ejection else { return false };
        ejection.start_probe();
        true
    }

    /// Ejects the server.
    pub(super) fn eject(&mut self, now: Time) {
        self.ejection = Some(Ejection::new(now));
    }

    /// Ends the ejection.
    pub(super) fn recover(&mut self) {
        self.ejection = None;
        self.failures = 0;
    }

    /// Notes that a probe has failed. Without an ejection nothing changes.
    pub(super) fn fail_probe(&mut self, now: Time) {
        if let Some(ejection) = &mut self.ejection {
            ejection.fail_probe(now);
        }
    }
}

#[cfg(test)]
mod tests;
