//! Suspicion of a single server.

use crate::{Outcome, Span, Time};

/// The part of its share that a suspected server is still sent.
pub const SUSPECTED_SHARE: f64 = 0.05;
/// How long suspicion lasts after own evidence.
const OWN_SUSPICION: Span = Span::from_secs(8);
/// How long suspicion lasts after gossip.
const GOSSIP_SUSPICION: Span = Span::from_secs(5);

/// Until when a server is under suspicion.
pub struct ServerSuspicion {
    until: Time,
}

impl ServerSuspicion {
    /// A server that is not suspected.
    pub fn new(now: Time) -> Self {
        ServerSuspicion { until: now }
    }

    /// Whether the server is under suspicion.
    pub fn is_active(&self, now: Time) -> bool {
        now < self.until
    }

    /// Records how an attempt ended: a served answer that is not late ends the suspicion.
    pub fn record(&mut self, now: Time, outcome: Outcome, is_late: bool) {
        if outcome == Outcome::Success && !is_late {
            self.until = now;
        }
    }

    /// Suspects the server on own evidence.
    pub(super) fn start(&mut self, now: Time) {
        self.until = now + OWN_SUSPICION;
    }

    /// Suspects the server for a short while because a peer does.
    pub(super) fn extend_by_gossip(&mut self, now: Time) {
        self.until = self.until.max(now + GOSSIP_SUSPICION);
    }
}

#[cfg(test)]
mod tests;
