//! What load reports say of one server.

use crate::policy::smoothing::decay_factor;
use crate::Time;

/// The load of a server by its last report, and own sends since.
#[derive(Default)]
pub struct ReportedLoad {
    load: f64,
    reported_at: Option<Time>,
    sends_since: u32,
}

impl ReportedLoad {
    /// A report that has arrived now.
    pub fn new(load: f64, now: Time) -> Self {
        ReportedLoad { load, reported_at: Some(now), sends_since: 0 }
    }

    /// Notes that the server is sent an attempt.
    pub fn record_send(&mut self) {
        self.sends_since += 1;
    }

    /// Whether the server has reported at `time` or later.
    pub fn is_reported_since(&self, time: Time) -> bool {
        self.reported_at.is_some_and(|at| at >= time)
    }

    /// The reported load and what was sent since; zero without a report.
    pub fn known(&self) -> f64 {
        if self.reported_at.is_none() {
            return 0.0;
        }
        self.load + f64::from(self.sends_since)
    }

    /// The load to expect now: a report loses its weight over `decay_ms` milliseconds, and `mean_load` makes
    /// up the rest.
    pub fn expected(&self, now: Time, decay_ms: f64, mean_load: f64) -> f64 {
        let weight = self.reported_at.map_or(0.0, |at| decay_factor(now.since(at), decay_ms));
        weight * (self.load + f64::from(self.sends_since)) + (1.0 - weight) * mean_load
    }
}

#[cfg(test)]
mod tests;
