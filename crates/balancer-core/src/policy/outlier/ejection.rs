//! The schedule of probes to an ejected server.

use crate::{Span, Time};

/// Interval between an ejection and the first probe.
const MIN_PROBE_INTERVAL: Span = Span::from_millis(250);
/// Longest interval between two probes.
const MAX_PROBE_INTERVAL: Span = Span::from_secs(4);
/// Factor by which the interval grows with each failed probe.
const PROBE_BACKOFF_FACTOR: f64 = 2.0;
/// Number of additional intervals after which a request that is not idempotent may probe the server too.
const NON_IDEMPOTENT_EXTRA_INTERVALS: f64 = 2.0;

/// The probe schedule of an ejected server.
pub struct Ejection {
    /// The time from which an idempotent request may probe the server.
    next_probe_at: Time,
    /// The current interval between two probes.
    interval: Span,
    /// Whether a probe is in flight. There is at most one at a time.
    has_probe_in_flight: bool,
}

impl Ejection {
    /// Creates the schedule of a server that is ejected at `now`.
    pub fn new(now: Time) -> Self {
        Ejection {
            next_probe_at: now + MIN_PROBE_INTERVAL,
            interval: MIN_PROBE_INTERVAL,
            has_probe_in_flight: false,
        }
    }

    /// Returns whether a request may probe the server now.
    ///
    /// Idempotent requests are preferred as probes. Other requests must wait longer, but may probe the
    /// server too: in a service without idempotent requests, ejected servers would otherwise never recover.
    pub fn is_probe_due(&self, now: Time, is_idempotent: bool) -> bool {
        let extra_delay =
            if is_idempotent { Span::ZERO } else { self.interval * NON_IDEMPOTENT_EXTRA_INTERVALS };
        !self.has_probe_in_flight && now >= self.next_probe_at + extra_delay
    }

    /// Records that a probe is in flight.
    pub fn start_probe(&mut self) {
        self.has_probe_in_flight = true;
    }

    /// Records that the probe has failed, and schedules the next one after a longer interval.
    pub fn record_probe_failure(&mut self, now: Time) {
        let interval = (self.interval * PROBE_BACKOFF_FACTOR).min(MAX_PROBE_INTERVAL);
        *self = Ejection { next_probe_at: now + interval, interval, has_probe_in_flight: false };
    }
}

#[cfg(test)]
mod tests;
