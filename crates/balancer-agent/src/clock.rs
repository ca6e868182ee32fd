//! The balancer's clock.

use balancer_core::{Span, Time};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Bounds what is added to an instant, which would overflow otherwise: some 35 years.
const MAX_OFFSET_US: u64 = 1 << 50;

/// Unix time at the start, carried on by the monotonic clock. So the start times of servers are times of the
/// same kind, and no step of the system's clock moves a deadline.
#[derive(Clone, Copy)]
pub struct Clock {
    origin: Instant,
    unix_at_origin: Span,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { origin: Instant::now(), unix_at_origin: Span(unix.as_micros() as u64) }
    }

    /// The time now.
    pub fn now(&self) -> Time {
        self.time_of(Instant::now())
    }

    /// The time at an instant.
    pub fn time_of(&self, instant: Instant) -> Time {
        let offset = instant.saturating_duration_since(self.origin);
        Time(self.unix_at_origin.0 + offset.as_micros() as u64)
    }

    /// The instant of a time.
    pub fn instant_of(&self, time: Time) -> Instant {
        let offset_us = time.0.saturating_sub(self.unix_at_origin.0).min(MAX_OFFSET_US);
        self.origin + Duration::from_micros(offset_us)
    }
}
