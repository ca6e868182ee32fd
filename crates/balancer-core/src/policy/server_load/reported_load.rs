//! The load that one server has reported.

use crate::policy::smoothing::decay_factor;
use crate::Time;

/// The load in a server's last report, and the number of own attempts sent to the server since.
#[derive(Default)]
pub struct ReportedLoad {
    /// The load in the last report, in requests.
    load: f64,
    /// When the last report arrived; `None` before the first report.
    reported_at: Option<Time>,
    /// Number of own attempts sent since the last report.
    sends_since: u32,
}

impl ReportedLoad {
    /// Creates the state after a report that arrived at `now`.
    pub fn new(load: f64, now: Time) -> Self {
        ReportedLoad { load, reported_at: Some(now), sends_since: 0 }
    }

    /// Counts an attempt that is sent to the server.
    pub fn record_send(&mut self) {
        self.sends_since += 1;
    }

    /// Returns whether the last report arrived at `time` or later.
    pub fn has_report_since(&self, time: Time) -> bool {
        self.reported_at.is_some_and(|at| at >= time)
    }

    /// Returns the load in the last report plus the attempts sent since; zero before the first report.
    pub fn last_known(&self) -> f64 {
        if self.reported_at.is_none() {
            return 0.0;
        }
        self.load + f64::from(self.sends_since)
    }

    /// Returns the expected load at `now`: a weighted mean of the last known load and `mean_load`.
    ///
    /// The weight of the last known load decays exponentially with the age of the report; the time constant
    /// is `decay_ms`.
    pub fn expected(&self, now: Time, decay_ms: f64, mean_load: f64) -> f64 {
        let weight = self.reported_at.map_or(0.0, |at| decay_factor(now.since(at), decay_ms));
        weight * (self.load + f64::from(self.sends_since)) + (1.0 - weight) * mean_load
    }
}

#[cfg(test)]
mod tests;
