//! Slow start, which limits the work that is sent to servers that are warming up.
//!
//! A server that is warming up is sent no more work than it is known to have capacity for, so that all
//! balancers together cannot overload it. The balancers need no coordination, because each of them limits its
//! own traffic.
//!
//! In a dense view a server that is warming up is sent at most its capacity share of the work that a warm
//! server was sent recently ([`SlowStart::exceeds_share`]). In a sparse view the server is a candidate only
//! with a probability that follows from its capacity share ([`SlowStart::admits_candidate`]).

use super::latency::INITIAL_RATIO;
use super::smoothing::{update_recent_average, DecayingSum};
use crate::units::{CapacityShare, LatencyRatio, Work};
use crate::{Endpoint, Settings, Time};

/// Highest load of a server that is warming up, as a fraction of the load that makes it fail
/// ([`Settings::overload_factor`]).
const SAFE_OVERLOAD_FRACTION: f64 = 0.5;
/// Time constant of the decay of recent work, as a fraction of the time after which an overloaded server
/// fails ([`Settings::overload_window`]).
const WORK_WINDOW_FRACTION: f64 = 0.5;

/// Work that one server was sent recently while it was warming up, in milliseconds.
#[derive(Default)]
pub struct WarmUpWork {
    /// The decaying sum of the work.
    sum: DecayingSum,
}

/// Work and latency of warm servers, and the latency of servers that are warming up.
pub struct SlowStart {
    /// Number of serving servers that are warm.
    warm_server_count: usize,
    /// Mean work that a warm server was sent recently, in milliseconds.
    work_per_warm_server: DecayingSum,
    /// Smoothed latency ratio of servers that are warming up.
    warming_up_ratio: f64,
    /// Smoothed latency ratio of warm servers.
    warm_ratio: f64,
}

/// Returns the share of its capacity that a server is known to have at `now`.
///
/// The share grows linearly from the initial capacity to 1 over the longest time that a server takes to warm
/// up (WIRE page, section 5, `coldShare` and `warmAfterMs`).
pub fn capacity_share(settings: &Settings, endpoint: &Endpoint, now: Time) -> CapacityShare {
    let Some(started_at) = endpoint.started_at else { return CapacityShare::FULL };
    let age_ms = now.since(started_at).as_millis_f64();
    let warm_up_ms = settings.warm_up_time.as_millis_f64();
    if age_ms >= warm_up_ms {
        return CapacityShare::FULL;
    }
    let initial = settings.initial_capacity.min(1.0);
    CapacityShare::new(initial + (1.0 - initial) * age_ms / warm_up_ms)
}

impl SlowStart {
    /// Creates the state before the first attempt, with equal latencies for all servers.
    pub fn new() -> Self {
        SlowStart {
            warm_server_count: 0,
            work_per_warm_server: DecayingSum::default(),
            warming_up_ratio: INITIAL_RATIO.value(),
            warm_ratio: INITIAL_RATIO.value(),
        }
    }

    /// Updates the number of warm servers from the capacity shares of the serving servers.
    pub fn count_warm_servers(&mut self, serving: &[CapacityShare]) {
        self.warm_server_count = serving.iter().filter(|share| share.is_full()).count();
    }

    /// Records the latency ratio of an attempt at a server with this capacity share.
    pub fn record_latency(&mut self, share: CapacityShare, ratio: LatencyRatio) {
        let average = if share.is_full() { &mut self.warm_ratio } else { &mut self.warming_up_ratio };
        update_recent_average(average, ratio.value());
    }

    /// Records work that is sent to a server with this capacity share.
    pub fn record_work(
        &mut self,
        settings: &Settings,
        server: &mut WarmUpWork,
        share: CapacityShare,
        work: Work,
        now: Time,
    ) {
        let decay_ms = WORK_WINDOW_FRACTION * settings.overload_window.as_millis_f64();
        if share.is_full() {
            self.record_warm_work(now, decay_ms, work);
        } else {
            server.sum.add(now, decay_ms, work.as_millis_f64());
        }
    }

    /// Records work that is sent to one of the warm servers.
    fn record_warm_work(&mut self, now: Time, decay_ms: f64, work: Work) {
        let work_per_server_ms = work.as_millis_f64() / self.warm_server_count.max(1) as f64;
        self.work_per_warm_server.add(now, decay_ms, work_per_server_ms);
    }

    /// Returns the mean work that a warm server was sent recently, in milliseconds.
    fn work_per_warm_server(&self, now: Time) -> f64 {
        self.work_per_warm_server.value_at(now)
    }

    /// Returns whether a server that is sent this work would exceed its allowed recent work.
    ///
    /// The allowed work is the mean recent work of a warm server, multiplied by the capacity share of the
    /// server. With this limit, all balancers together cannot overload the server as long as warm servers are
    /// limited too. While no serving server is warm, the work is not limited.
    pub fn exceeds_share(&self, server: &WarmUpWork, share: CapacityShare, work: Work, now: Time) -> bool {
        if share.is_full() || self.warm_server_count == 0 {
            return false;
        }
        let allowed_work = share.value() * self.work_per_warm_server(now);
        server.sum.value_at(now) + work.as_millis_f64() > allowed_work
    }

    /// Decides at random whether a server with this capacity share may be a candidate now.
    ///
    /// In a sparse view every balancer sees a server that is warming up as idle, and all balancers together
    /// would overload it. Each balancer therefore admits the server as a candidate only with a probability.
    /// The probability is the capacity share, raised while servers that are warming up respond faster than
    /// warm ones (docs/findings/fleet-join.md and fleet-shares.md).
    ///
    /// The probability is divided by `selection_factor`, the factor by which an idle server is selected more
    /// often than an average candidate.
    pub fn admits_candidate(
        &self,
        settings: &Settings,
        share: CapacityShare,
        selection_factor: usize,
        rng: &mut fastrand::Rng,
    ) -> bool {
        let max_factor = (SAFE_OVERLOAD_FRACTION * settings.overload_factor).max(1.0);
        let factor = self.relative_speed().clamp(1.0, max_factor);
        let allowed_share = (share.value() * factor).min(1.0);
        allowed_share >= 1.0 || rng.f64() * (selection_factor as f64) < allowed_share
    }

    /// Returns the speed of servers that are warming up relative to warm servers: 2 means half the latency.
    fn relative_speed(&self) -> f64 {
        self.warm_ratio / self.warming_up_ratio
    }
}

#[cfg(test)]
mod tests;
