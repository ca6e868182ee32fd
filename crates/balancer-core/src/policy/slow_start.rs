//! Slow start: a server that has just started is sent no more than it surely has capacity for, so that the
//! sum of all balancers cannot overload it. Balancers need no coordination: each keeps to its own part.

use super::routing::MAX_CANDIDATES;
use crate::state::{ServerIndex, ServerState, WarmUp};
use crate::Balancer;

/// The share of the load that makes a server fail that it is sent at most.
const SAFE_OVERLOAD_PART: f64 = 0.5;
/// Work sent is counted over this part of the window in which too much of it makes a server fail.
const WORK_WINDOW_PART: f64 = 0.5;

impl Balancer {
    /// The share of its capacity that a server surely has.
    pub(crate) fn capacity_share(&self, server: &ServerState) -> f64 {
        WarmUp::capacity_share(&self.settings, &server.endpoint, self.now)
    }

    /// Takes in that a server is sent work.
    pub(crate) fn record_work(&mut self, index: ServerIndex, work: f64) {
        let decay_ms = WORK_WINDOW_PART * self.settings.overload_window.as_millis_f64();
        if self.capacity_share(&self.registry[index]) < 1.0 {
            self.registry[index].warm_up_work.add(self.now, decay_ms, work);
        } else {
            self.warm_up.record_warm_work(self.now, decay_ms, work);
        }
    }

    /// Whether this work would take a server past its share of what warm servers were sent lately. So the sum
    /// of all balancers cannot overload it while the warm ones are limited.
    pub(crate) fn exceeds_share(&self, server: &ServerState, capacity_share: f64, work: f64) -> bool {
        let share = capacity_share * self.warm_up.work_per_warm_server(self.now);
        let has_warm_servers = self.warm_up.warm_servers > 0;
        capacity_share < 1.0 && has_warm_servers && server.warm_up_work.value_at(self.now) + work > share
    }

    /// In a sparse view, a server that is warming up, empty and remembered by all, would be overloaded by the
    /// sum of all balancers. Each lets it be a candidate only as often as the part of a warm server's share
    /// that it may get: what it surely has capacity for, and more while servers that are warming up answer
    /// sooner than warm ones. Where an empty server wins the choice, it counts for all that it wins over.
    pub(crate) fn passes_slow_start(&mut self, index: ServerIndex) -> bool {
        let max_factor = (SAFE_OVERLOAD_PART * self.settings.overload_factor).max(1.0);
        let factor = self.warm_up.relative_speed().clamp(1.0, max_factor);
        let share = (self.capacity_share(&self.registry[index]) * factor).min(1.0);
        let wins_over = if self.polls_loads() { MAX_CANDIDATES } else { 1 };
        !self.is_sparse() || share >= 1.0 || self.rng.f64() * (wins_over as f64) < share
    }
}
