//! Concurrency limits: how many of this balancer's attempts may be in flight at a server at a time. Each
//! limit adapts to the latency of its server.

use crate::units::{CapacityShare, LatencyRatio, Probability};
use crate::{Settings, Span, Time};

/// Target for the smoothed latency ratio of a server. Above the target, the limit of the server shrinks; at
/// the target or below, the limit grows while it is fully used.
pub const TARGET_RATIO: LatencyRatio = LatencyRatio::new(0.25);
/// Latency ratio from which an attempt is late. Higher ratios are counted as this one, so that one expensive
/// request does not count as much as ten others.
pub const LATE_RATIO: LatencyRatio = LatencyRatio::new(1.0);
/// Limit of a server that has not responded yet, in requests.
const INITIAL_LIMIT: f64 = 2.0;
/// Highest limit, in requests.
const MAX_LIMIT: f64 = 1000.0;
/// Factor by which a late attempt multiplies the limit.
const LATE_FACTOR: f64 = 0.85;
/// Number of requests by which a fully used limit grows in about one round trip, that is, while as many
/// attempts end as the limit allows in flight.
const INCREASE_PER_ROUND_TRIP: f64 = 0.1;
/// Fraction of the limit that an attempt removes per unit of overshoot. Higher fractions, 0.04 and 0.08, cost
/// more than they save.
const DECREASE_FRACTION: f64 = 0.02;
/// Highest overshoot that is counted. The overshoot is the excess of the smoothed latency ratio over the
/// target, as a multiple of the target.
const MAX_OVERSHOOT: f64 = 2.0;

/// Returns the lowest limit of a server, in requests: one request divided by the number of balancers.
pub fn min_limit(settings: &Settings) -> f64 {
    1.0 / f64::from(settings.balancer_count.max(1))
}

/// The latency of an ended attempt, and the state of its server at that moment.
pub struct LatencySample {
    /// Latency ratio of the attempt.
    pub ratio: LatencyRatio,
    /// Smoothed latency ratio of the server, this attempt included.
    pub smoothed_ratio: LatencyRatio,
    /// Number of this balancer's other attempts in flight at the server.
    pub other_in_flight: u32,
}

/// Factors that a limit is multiplied by before it is compared with the number of attempts in flight.
pub struct LimitScale {
    /// The admission probability.
    pub admission_probability: Probability,
    /// The capacity share of the server, which is below 1 while the server is warming up.
    pub capacity_share: CapacityShare,
}

/// The concurrency limit of one server. A limit below one is enforced by a delay after each attempt.
pub struct ConcurrencyLimit {
    /// The limit before scaling, in requests.
    limit: f64,
    /// When the last attempt ended.
    last_attempt_ended_at: Time,
    /// Latency of the last attempt, or the latency objective if the server has rejected the attempt, in
    /// milliseconds.
    last_latency_ms: f64,
    /// When the backoff after the last rejection ends. The server is sent no attempt before this time.
    backoff_until: Time,
}

impl ConcurrencyLimit {
    /// Creates the limit of a server that has not responded yet.
    pub fn new(now: Time) -> Self {
        ConcurrencyLimit {
            limit: INITIAL_LIMIT,
            last_attempt_ended_at: now,
            last_latency_ms: 0.0,
            backoff_until: now,
        }
    }

    /// Adjusts the limit to the latency of an ended attempt, but not below `min_limit`.
    ///
    /// The limit shrinks more slowly than the smoothed latency adapts, because the lag of the average would
    /// otherwise make the limit too low. A late attempt or a rejection by a full server is certain evidence
    /// of overload and reduces the limit at once.
    ///
    /// The limit grows only while it is fully used: limits that grew at low load would let the next burst
    /// overload the fleet (docs/findings/case6480.md).
    pub fn record(&mut self, sample: &LatencySample, min_limit: f64) {
        let overshoot = (sample.smoothed_ratio.value() / TARGET_RATIO.value() - 1.0).min(MAX_OVERSHOOT);
        let is_late = sample.ratio >= LATE_RATIO;
        let factor = if is_late { LATE_FACTOR } else { 1.0 - DECREASE_FRACTION * overshoot.max(0.0) };
        self.limit = (self.limit * factor).max(min_limit);
        let is_fully_used = f64::from(sample.other_in_flight) + 1.0 >= self.limit.floor();
        if overshoot <= 0.0 && !is_late && is_fully_used {
            self.limit = (self.limit + INCREASE_PER_ROUND_TRIP / self.limit.max(1.0)).min(MAX_LIMIT);
        }
    }

    /// Records that an attempt has ended now, after `latency`.
    pub fn record_attempt_end(&mut self, now: Time, latency: Span) {
        self.last_attempt_ended_at = now;
        self.last_latency_ms = latency.as_millis_f64();
    }

    /// Backs off from a full server for the typical latency of a class, which is `typical_ratio` times the
    /// latency objective of the class.
    ///
    /// Without a backoff, rejected requests would be retried at every server of the fleet in quick
    /// succession.
    pub fn back_off(&mut self, now: Time, objective: Span, typical_ratio: LatencyRatio) {
        self.last_latency_ms = objective.as_millis_f64();
        self.backoff_until = now + Span::from_millis_f64(objective.as_millis_f64() * typical_ratio.value());
    }

    /// Returns whether the backoff after the last rejection is still in progress at `now`.
    pub fn is_backing_off(&self, now: Time) -> bool {
        now < self.backoff_until
    }

    /// Returns whether one more attempt may be sent while `in_flight` others are in flight.
    ///
    /// The delay for a limit below one follows from the present limit and not from the limit at the end of
    /// the last attempt. Otherwise a single late attempt during an overload would keep a server unused for a
    /// minute.
    pub fn has_capacity(&self, now: Time, in_flight: u32, scale: &LimitScale) -> bool {
        let limit = self.limit * scale.admission_probability.value();
        let delay_ms = self.last_latency_ms * (1.0 / limit - 1.0).max(0.0);
        let is_delay_over = now.since(self.last_attempt_ended_at).as_millis_f64() >= delay_ms;
        if !is_delay_over || self.is_backing_off(now) {
            return false;
        }
        f64::from(in_flight) + 1.0 <= (limit * scale.capacity_share.value()).max(1.0)
    }
}

#[cfg(test)]
mod tests;
