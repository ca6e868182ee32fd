//! Opening a watch of the endpoint list again after it broke.

use crate::{Span, Time};

/// First pause before a broken watch is opened again, and its growth with each failure.
const MIN_BACKOFF: Span = Span(200_000);
const BACKOFF_FACTOR: f64 = 2.0;
/// The longest pause is this part of the interval at which the list must be asked for.
const MAX_BACKOFF_PART: f64 = 0.25;
/// A pause is spread between this part of itself and one more.
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

    /// Schedules the next try after a failure.
    pub fn schedule(&mut self, now: Time, max_poll_interval: Span, rng: &mut fastrand::Rng) {
        let jitter = MIN_JITTER + rng.f64();
        let max_backoff = max_poll_interval * MAX_BACKOFF_PART;
        self.retry_at = Some(now + self.backoff.min(max_backoff) * jitter);
        self.backoff = (self.backoff * BACKOFF_FACTOR).min(max_backoff);
    }

    /// The endpoint list has come: the next failure starts with a short pause.
    pub fn reset_backoff(&mut self) {
        self.backoff = MIN_BACKOFF;
    }

    /// Whether a try is due; it counts as made.
    pub fn take_due(&mut self, now: Time) -> bool {
        self.retry_at.take_if(|at| now >= *at).is_some()
    }
}
