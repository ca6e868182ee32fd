//! Concurrency limits: how many own requests a server may hold at a time, learned from its latency.

use crate::units::{CapacityShare, LatencyRatio, Probability};
use crate::{Settings, Span, Time};

/// The latency ratio that servers are held to: above it a server's limit shrinks, below it the limit grows.
pub const TARGET_RATIO: LatencyRatio = LatencyRatio::new(0.25);
/// Answers are late from this ratio on, and no ratio is counted as higher: one costly request must not count
/// like ten.
pub const LATE_RATIO: LatencyRatio = LatencyRatio::new(1.0);
/// Limit of a server that has not answered yet, in requests.
const INITIAL_LIMIT: f64 = 2.0;
/// Highest limit, in requests.
const MAX_LIMIT: f64 = 1000.0;
/// Factor that a late answer applies to the limit.
const LATE_CUT: f64 = 0.85;
/// Requests that a limit in full use grows by in the time that it takes to use it once.
const GROWTH: f64 = 0.1;
/// Part of the limit that an answer takes off for each unit of overshoot. 0.04 and 0.08 were measured and
/// cost more than they save.
const SHRINK: f64 = 0.02;
/// Highest overshoot that counts, as a multiple of the target.
const MAX_OVERSHOOT: f64 = 2.0;

/// The lowest limit of a server: the part of one request that is this balancer's among all of them.
pub fn min_limit(settings: &Settings) -> f64 {
    1.0 / f64::from(settings.balancer_count.max(1))
}

/// An answer, and what is known of its server at that moment.
pub struct AnswerSample {
    /// The latency of the answer.
    pub ratio: LatencyRatio,
    /// The smoothed latency of the server, this answer included.
    pub smoothed_ratio: LatencyRatio,
    /// Other own requests that the server holds.
    pub other_in_flight: u32,
}

/// What scales a limit before it is compared with the requests in flight.
pub struct LimitScale {
    /// The admission probability.
    pub admission: Probability,
    /// The share of its capacity that the server is known to have.
    pub capacity_share: CapacityShare,
}

/// The concurrency limit of one server. A limit below one is kept by a pause after each answer.
pub struct ConcurrencyLimit {
    limit: f64,
    last_completion: Time,
    last_latency_ms: f64,
    /// A server that was full is not sent anything until then.
    backoff_until: Time,
}

impl ConcurrencyLimit {
    /// The limit of a server that has not answered yet.
    pub fn new(now: Time) -> Self {
        ConcurrencyLimit {
            limit: INITIAL_LIMIT,
            last_completion: now,
            last_latency_ms: 0.0,
            backoff_until: now,
        }
    }

    /// Adjusts the limit by an answer, but not below `min_limit`. It shrinks more slowly than the smoothed
    /// latency adapts, because the lag of the average would drive it down too far; a late answer or a full
    /// queue is certain evidence and counts at once. It grows only in full use: limits that grew in calm
    /// minutes would let the next burst overload the fleet (docs/findings/case6480.md).
    pub fn record(&mut self, sample: &AnswerSample, min_limit: f64) {
        let overshoot = (sample.smoothed_ratio.value() / TARGET_RATIO.value() - 1.0).min(MAX_OVERSHOOT);
        let is_late = sample.ratio >= LATE_RATIO;
        let factor = if is_late { LATE_CUT } else { 1.0 - SHRINK * overshoot.max(0.0) };
        self.limit = (self.limit * factor).max(min_limit);
        let is_in_full_use = f64::from(sample.other_in_flight) + 1.0 >= self.limit.floor();
        if overshoot <= 0.0 && !is_late && is_in_full_use {
            self.limit = (self.limit + GROWTH / self.limit.max(1.0)).min(MAX_LIMIT);
        }
    }

    /// Notes when an answer came and how long it took.
    pub fn complete(&mut self, now: Time, latency: Span) {
        self.last_completion = now;
        self.last_latency_ms = latency.as_millis_f64();
    }

    /// Backs off from a full server for a typical latency of the class with this objective. Otherwise what
    /// one server rejects would go round the whole fleet at once.
    pub fn back_off(&mut self, now: Time, objective: Span, typical_ratio: LatencyRatio) {
        self.last_latency_ms = objective.as_millis_f64();
        self.backoff_until = now + Span::from_millis_f64(objective.as_millis_f64() * typical_ratio.value());
    }

    /// Whether the server was full a moment ago.
    pub fn is_backing_off(&self, now: Time) -> bool {
        now < self.backoff_until
    }

    /// Whether one more request may be sent beside `in_flight` others. A limit below one is judged as it is
    /// now, and not as it was at the last answer; otherwise one late answer during an overload would pause a
    /// server for a minute.
    pub fn has_capacity(&self, now: Time, in_flight: u32, scale: &LimitScale) -> bool {
        let limit = self.limit * scale.admission.value();
        let pause_ms = self.last_latency_ms * (1.0 / limit - 1.0).max(0.0);
        let has_paused = now.since(self.last_completion).as_millis_f64() >= pause_ms;
        if !has_paused || self.is_backing_off(now) {
            return false;
        }
        f64::from(in_flight) + 1.0 <= (limit * scale.capacity_share.value()).max(1.0)
    }
}

#[cfg(test)]
mod tests;
