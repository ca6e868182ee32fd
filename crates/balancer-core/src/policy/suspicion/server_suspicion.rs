//! The suspicion of a single server.

use crate::{Outcome, Span, Time};

/// Factor on the tie-break weight of a suspected server. The server still receives about this fraction of
/// its normal traffic.
pub const SUSPECTED_WEIGHT_FACTOR: f64 = 0.05;
/// Duration of a suspicion that is based on this balancer's own attempts and health checks.
const OWN_SUSPICION_DURATION: Span = Span::from_secs(8);
/// Duration of a suspicion that is based on gossip.
const GOSSIP_SUSPICION_DURATION: Span = Span::from_secs(5);

/// The time until which a server is suspected.
pub struct ServerSuspicion {
    suspected_until: Time,
}

impl ServerSuspicion {
    /// Creates the state of a server that is not suspected.
    pub fn new(now: Time) -> Self {
        ServerSuspicion { suspected_until: now }
    }

    /// Returns whether the server is suspected at `now`.
    pub fn is_active(&self, now: Time) -> bool {
        now < self.suspected_until
    }

    /// Records the outcome of an attempt. A success ends the suspicion unless it was late.
    pub fn record(&mut self, now: Time, outcome: Outcome, is_late: bool) {
        if outcome == Outcome::Success && !is_late {
            self.suspected_until = now;
        }
    }

    /// Suspects the server because of this balancer's own attempts or health checks.
    pub(super) fn start(&mut self, now: Time) {
        self.suspected_until = now + OWN_SUSPICION_DURATION;
    }

    /// Suspects the server because of gossip. A suspicion that already lasts longer is not shortened.
    pub(super) fn extend_by_gossip(&mut self, now: Time) {
        self.suspected_until = self.suspected_until.max(now + GOSSIP_SUSPICION_DURATION);
    }
}

#[cfg(test)]
mod tests;
