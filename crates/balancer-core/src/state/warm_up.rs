//! How servers that are warming up compare with warm ones.

use super::latency::INITIAL_RATIO;
use super::smoothing::{update_recent_average, DecayingSum};
use crate::{Endpoint, Settings, Time};

/// Work that warm servers were sent, and latencies of warm servers and of those that are warming up.
pub struct WarmUp {
    /// Serving servers that are warm.
    pub warm_servers: usize,
    /// Work that each warm server was sent lately, on average.
    work_per_warm_server: DecayingSum,
    warming_up_ratio: f64,
    warm_ratio: f64,
}

impl WarmUp {
    /// What is assumed before anything has been sent.
    pub fn new() -> Self {
        let (work_per_warm_server, ratio) = (DecayingSum::default(), INITIAL_RATIO);
        WarmUp { warm_servers: 0, work_per_warm_server, warming_up_ratio: ratio, warm_ratio: ratio }
    }

    /// The share of its capacity that a server surely has, up to 1: it grows evenly over the time that
    /// warming up takes at the longest (WIRE page, section 5, `coldShare` and `warmAfterMs`).
    pub fn capacity_share(settings: &Settings, endpoint: &Endpoint, now: Time) -> f64 {
        let Some(started_at) = endpoint.started_at else { return 1.0 };
        let (age_ms, warm_up_ms) =
            (now.since(started_at).as_millis_f64(), settings.warm_up_time.as_millis_f64());
        if age_ms >= warm_up_ms {
            return 1.0;
        }
        let initial = settings.initial_capacity.min(1.0);
        initial + (1.0 - initial) * age_ms / warm_up_ms
    }

    /// Takes in the latency ratio of a server with this share of its capacity.
    pub fn record_latency(&mut self, capacity_share: f64, ratio: f64) {
        let is_warm = capacity_share >= 1.0;
        update_recent_average(if is_warm { &mut self.warm_ratio } else { &mut self.warming_up_ratio }, ratio);
    }

    /// Takes in that one of the warm servers is sent work.
    pub fn record_warm_work(&mut self, now: Time, decay_ms: f64, work: f64) {
        let part = work / self.warm_servers.max(1) as f64;
        self.work_per_warm_server.add(now, decay_ms, part);
    }

    /// Work that each warm server was sent lately, on average.
    pub fn work_per_warm_server(&self, now: Time) -> f64 {
        self.work_per_warm_server.value_at(now)
    }

    /// How much sooner servers that are warming up answer than warm ones.
    pub fn relative_speed(&self) -> f64 {
        self.warm_ratio / self.warming_up_ratio
    }
}

#[cfg(test)]
mod tests;
