//! Slow start: a server that has just started is sent no more than it is known to have capacity for, so that
//! the sum of all balancers cannot overload it. Balancers need no coordination: each keeps to its own part.
//!
//! In a dense view a server that is warming up gets its capacity share of the work that warm servers were
//! sent lately ([`SlowStart::exceeds_share`]). In a sparse view it becomes a candidate only with the
//! probability of that share ([`SlowStart::admits_candidate`]).

use super::latency::INITIAL_RATIO;
use super::smoothing::{update_recent_average, DecayingSum};
use crate::units::{CapacityShare, LatencyRatio, Work};
use crate::{Endpoint, Settings, Time};

/// The part of the load that makes a server fail that it is sent at most.
const SAFE_OVERLOAD_PART: f64 = 0.5;
/// Work sent is counted over this part of the window in which too much of it makes a server fail.
const WORK_WINDOW_PART: f64 = 0.5;

/// Work that one server was sent lately while it was warming up, in milliseconds.
#[derive(Default)]
pub struct WarmUpWork {
    sum: DecayingSum,
}

/// How servers that are warming up compare with warm ones.
pub struct SlowStart {
    /// Serving servers that are warm.
    warm_servers: usize,
    /// Work that each warm server was sent lately, on average, in milliseconds.
    work_per_warm_server: DecayingSum,
    warming_up_ratio: f64,
    warm_ratio: f64,
}

/// The share of its capacity that a server is known to have: it grows evenly over the longest time that
/// warming up takes (WIRE page, section 5, `coldShare` and `warmAfterMs`).
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
    /// What is assumed before anything has been sent.
    pub fn new() -> Self {
        SlowStart {
            warm_servers: 0,
            work_per_warm_server: DecayingSum::default(),
            warming_up_ratio: INITIAL_RATIO.value(),
            warm_ratio: INITIAL_RATIO.value(),
        }
    }

    /// Counts the warm ones among the serving servers.
    pub fn count_warm_servers(&mut self, serving: &[CapacityShare]) {
        self.warm_servers = serving.iter().filter(|share| share.is_full()).count();
    }

    /// Records the latency of a server with this share of its capacity.
    pub fn record_latency(&mut self, share: CapacityShare, ratio: LatencyRatio) {
        let average = if share.is_full() { &mut self.warm_ratio } else { &mut self.warming_up_ratio };
        update_recent_average(average, ratio.value());
    }

    /// Records that a server with this share of its capacity is sent work.
    pub fn record_work(
        &mut self,
        settings: &Settings,
        server: &mut WarmUpWork,
        share: CapacityShare,
        work: Work,
        now: Time,
    ) {
        let decay_ms = WORK_WINDOW_PART * settings.overload_window.as_millis_f64();
        if share.is_full() {
            self.record_warm_work(now, decay_ms, work);
        } else {
            server.sum.add(now, decay_ms, work.as_millis_f64());
        }
    }

    fn record_warm_work(&mut self, now: Time, decay_ms: f64, work: Work) {
        let part = work.as_millis_f64() / self.warm_servers.max(1) as f64;
        self.work_per_warm_server.add(now, decay_ms, part);
    }

    /// Work that each warm server was sent lately, on average, in milliseconds.
    fn work_per_warm_server(&self, now: Time) -> f64 {
        self.work_per_warm_server.value_at(now)
    }

    /// Whether this work would take a server past its share of what warm servers were sent lately. With this
    /// limit the sum of all balancers cannot overload it while the warm ones are limited too.
    pub fn exceeds_share(&self, server: &WarmUpWork, share: CapacityShare, work: Work, now: Time) -> bool {
        if share.is_full() || self.warm_servers == 0 {
            return false;
        }
        let allowed_work = share.value() * self.work_per_warm_server(now);
        server.sum.value_at(now) + work.as_millis_f64() > allowed_work
    }

    /// Whether a server with this share of its capacity may be a candidate now. In a sparse view a server
    /// that is warming up is empty in the eyes of all balancers, and their sum would overload it. Each admits
    /// it only as often as the part of a warm server's share that it may get: what it is known to have
    /// capacity for, and more while servers that are warming up answer sooner than warm ones
    /// (docs/findings/fleet-join.md and fleet-shares.md). Where the emptiest candidate wins, it wins over
    /// `competitors` at once, and the probability is divided by them.
    pub fn admits_candidate(
        &self,
        settings: &Settings,
        share: CapacityShare,
        competitors: usize,
        rng: &mut fastrand::Rng,
    ) -> bool {
        let max_factor = (SAFE_OVERLOAD_PART * settings.overload_factor).max(1.0);
        let factor = self.relative_speed().clamp(1.0, max_factor);
        let allowed_share = (share.value() * factor).min(1.0);
        allowed_share >= 1.0 || rng.f64() * (competitors as f64) < allowed_share
    }

    /// How much sooner servers that are warming up answer than warm ones: 2 is half the latency.
    fn relative_speed(&self) -> f64 {
        self.warm_ratio / self.warming_up_ratio
    }
}

#[cfg(test)]
mod tests;
