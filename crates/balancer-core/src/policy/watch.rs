//! The schedule for reopening the watch of the endpoint list after a failure.

use crate::{Span, Time};

/// Delay between the first failure of a watch and its reopening, before jitter.
const MIN_BACKOFF: Span = Span::from_millis(200);
/// Factor by which the delay grows with each failure.
const BACKOFF_FACTOR: f64 = 2.0;
/// Longest delay before jitter, as a fraction of
/// [`Settings::max_poll_interval`](crate::Settings::max_poll_interval).
const MAX_BACKOFF_FRACTION: f64 = 0.25;
/// Lowest factor by which jitter multiplies a delay; the highest factor is greater by 1.
const MIN_JITTER: f64 = 0.5;

/// The schedule for reopening a failed watch.
pub struct WatchRetry {
    /// Delay after the next failure, before jitter.
    backoff: Span,
    /// When the watch is to be reopened; `None` if no reopening is scheduled.
    retry_at: Option<Time>,
}

impl WatchRetry {
    /// Creates the schedule for a watch that has not failed.
    pub fn new() -> Self {
        WatchRetry { backoff: MIN_BACKOFF, retry_at: None }
    }

    /// Schedules the reopening of the watch after a failure, with a growing delay and jitter.
    pub fn schedule(&mut self, now: Time, max_poll_interval: Span, rng: &mut fastrand::Rng) {
        let jitter = MIN_JITTER + rng.f64();
        let max_backoff = max_poll_interval * MAX_BACKOFF_FRACTION;
        self.retry_at = Some(now + self.backoff.min(max_backoff) * jitter);
        self.backoff = (self.backoff * BACKOFF_FACTOR).min(max_backoff);
    }

    /// Resets the delay to its minimum. The [`Balancer`](crate::Balancer) calls this when the endpoint list
    /// or changes of it have arrived.
    pub fn reset_backoff(&mut self) {
        self.backoff = MIN_BACKOFF;
    }

    /// Returns whether the watch is to be reopened at `now`, and clears the schedule if so. The
    /// [`Balancer`](crate::Balancer) then has its host reopen the watch.
    pub fn take_due(&mut self, now: Time) -> bool {
        self.retry_at.take_if(|at| now >= *at).is_some()
    }
}

#[cfg(test)]
mod tests;
