//! When an ejected server is probed.

use crate::{Span, Time};

/// First interval between an ejection and its probe.
const MIN_PROBE_INTERVAL: Span = Span::from_millis(250);
/// Longest interval between two probes.
const MAX_PROBE_INTERVAL: Span = Span::from_secs(4);
/// Growth of the interval with each failed probe.
const PROBE_BACKOFF: f64 = 2.0;
/// Any request may probe a server that no idempotent one has probed for this many further intervals.
const UNSAFE_PROBE_INTERVALS: f64 = 2.0;

/// The state of an ejected server.
pub struct Ejection {
    next_probe: Time,
    interval: Span,
    is_probing: bool,
}

impl Ejection {
    /// The state of a server that is ejected now.
    pub fn new(now: Time) -> Self {
        Ejection { next_probe: now + MIN_PROBE_INTERVAL, interval: MIN_PROBE_INTERVAL, is_probing: false }
    }

    /// Whether a request may probe the server now. Idempotent ones go first, but a service without an
    /// idempotent class must take its servers back too.
    pub fn is_probe_due(&self, now: Time, is_idempotent: bool) -> bool {
        let wait = if is_idempotent { Span::ZERO } else { self.interval * UNSAFE_PROBE_INTERVALS };
        !self.is_probing && now >= self.next_probe + wait
    }

    /// Notes that a probe is in flight.
    pub fn start_probe(&mut self) {
        self.is_probing = true;
    }

    /// Notes that the probe has failed: the next one comes later.
    pub fn fail_probe(&mut self, now: Time) {
        let interval = (self.interval * PROBE_BACKOFF).min(MAX_PROBE_INTERVAL);
        *self = Ejection { next_probe: now + interval, interval, is_probing: false };
    }
}

#[cfg(test)]
mod tests;
