//! Concurrency limits: how many own requests a server may hold at a time, learned from its latency.

use crate::{Span, Time};

/// The latency ratio that servers are held to: over it a server's limit shrinks, under it it grows.
pub const TARGET_RATIO: f64 = 0.25;
/// Answers are late from this ratio on, and count as no more: one costly request must not count like ten.
pub const LATE_RATIO: f64 = 1.0;
/// Limit of a server that has not answered yet, and the highest limit of all.
const INITIAL_LIMIT: f64 = 2.0;
const MAX_LIMIT: f64 = 1000.0;
/// What an answer past its objective leaves of a limit.
const LATE_CUT: f64 = 0.85;
/// A limit in full use grows by this much in the time that it takes to use it once.
const GROWTH: f64 = 0.1;
/// It shrinks by this part of its bounded overshoot an answer; 0.04 and 0.08 cost more than they save.
const SHRINK: f64 = 0.02;
const MAX_OVERSHOOT: f64 = 2.0;

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
        let limit = INITIAL_LIMIT;
        ConcurrencyLimit { limit, last_completion: now, last_latency_ms: 0.0, backoff_until: now }
    }

    /// Takes in an answer, while `in_flight` other own requests are at the server. A limit falls more slowly
    /// than the average `smoothed_ratio` adapts, or the lag would drive it down too far; a late answer or a
    /// full queue is certain evidence and counts at once.
    pub fn record(&mut self, ratio: f64, smoothed_ratio: f64, in_flight: u32, min_limit: f64) {
        let overshoot = (smoothed_ratio / TARGET_RATIO - 1.0).min(MAX_OVERSHOOT);
        let is_late = ratio >= LATE_RATIO;
        let factor = if is_late { LATE_CUT } else { 1.0 - SHRINK * overshoot.max(0.0) };
        self.limit = (self.limit * factor).max(min_limit);
        let is_in_full_use = f64::from(in_flight) + 1.0 >= self.limit.floor();
        if overshoot <= 0.0 && !is_late && is_in_full_use {
            self.limit = (self.limit + GROWTH / self.limit.max(1.0)).min(MAX_LIMIT);
        }
    }

    /// Notes when an answer came and how long it took.
    pub fn complete(&mut self, now: Time, latency: Span) {
        (self.last_completion, self.last_latency_ms) = (now, latency.as_millis_f64());
    }

    /// Backs off from a full server, or what it rejects would go round the whole fleet at once.
    pub fn back_off(&mut self, now: Time, objective: Span, typical_ratio: f64) {
        self.last_latency_ms = objective.as_millis_f64();
        self.backoff_until = now + Span::from_millis_f64(objective.as_millis_f64() * typical_ratio);
    }

    /// Whether the server was full just now.
    pub fn is_backing_off(&self, now: Time) -> bool {
        now < self.backoff_until
    }

    /// Whether one more request may be sent, by the limit scaled with the `admission` probability and with
    /// the share of its capacity that the server surely has. A limit below one is judged as it is now;
    /// otherwise one late answer during an overload would pause a server for a minute.
    pub fn has_capacity(&self, now: Time, in_flight: u32, admission: f64, capacity_share: f64) -> bool {
        let limit = self.limit * admission;
        let pause_ms = self.last_latency_ms * (1.0 / limit - 1.0).max(0.0);
        let has_paused =
            now.since(self.last_completion).as_millis_f64() >= pause_ms && !self.is_backing_off(now);
        has_paused && f64::from(in_flight) + 1.0 <= (limit * capacity_share).max(1.0)
    }
}

#[cfg(test)]
mod tests;
