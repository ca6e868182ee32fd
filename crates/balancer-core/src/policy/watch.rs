//! Opening a watch of the endpoint list again after it broke.

use crate::{Span, Time};

/// First delay before a broken watch is opened again.
const MIN_BACKOFF: Span = Span::from_millis(200);
/// Growth of the delay with each failure.
const BACKOFF_FACTOR: f64 = 2.0;
/// The longest delay is this part of the interval at which the list must be asked for.
const MAX_BACKOFF_PART: f64 = 0.25;
/// Jitter multiplies a delay by a random factor between this and one more.
const MIN_JITTER: f64 = 0.5;

/// When a broken watch is opened again.
pub struct WatchRetry {
    backoff: Span,
    retry_at: Option<Time>,
}

impl WatchRetry {
    /// No watch has broken.
    pub fn new() -> Self {
        WatchRetry { backoff: MIN_BACKOFF, retry_at: None }
    }

    /// Schedules the next attempt after a failure.
    pub fn schedule(&mut self, now: Time, max_poll_interval: Span, rng: &mut fastrand::Rng) {
        let jitter = MIN_JITTER + rng.f64();
        let max_backoff = max_poll_interval * MAX_BACKOFF_PART;
        self.retry_at = Some(now + self.backoff.min(max_backoff) * jitter);
        self.backoff = (self.backoff * BACKOFF_FACTOR).min(max_backoff);
    }

    /// The endpoint list has arrived: the next failure starts with a short delay.
    pub fn reset_backoff(&mut self) {
        self.backoff = MIN_BACKOFF;
    }

    /// Whether the watch is to be opened now; from then on it counts as opened.
    pub fn take_due(&mut self, now: Time) -> bool {
        self.retry_at.take_if(|at| now >= *at).is_some()
    }
}

#[cfg(test)]
mod tests;
