//! The balancer's clock.

use balancer_core::{Span, Time};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The latest instant is this long after the start, about 35 years: adding much more to an instant overflows.
const MAX_OFFSET: Span = Span::from_micros(1 << 50);

/// Unix time when the agent started, advanced by the monotonic clock. Its times can be compared with the start
/// times of servers, and a step of the system clock does not move any deadline.
#[derive(Clone, Copy)]
pub struct Clock {
    started_at: Instant,
    unix_time_at_start: Time,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock {
            started_at: Instant::now(),
            unix_time_at_start: Time::from_micros(unix_time.as_micros() as u64),
        }
    }

    /// The present time.
    pub fn now(&self) -> Time {
        self.time_of(Instant::now())
    }

    /// The time of an instant.
    pub fn time_of(&self, instant: Instant) -> Time {
        let offset = instant.saturating_duration_since(self.started_at);
        self.unix_time_at_start + Span::from_micros(offset.as_micros() as u64)
    }

    /// The instant of a time.
    pub fn instant_of(&self, time: Time) -> Instant {
        let offset = time.since(self.unix_time_at_start).min(MAX_OFFSET);
        self.started_at + Duration::from_micros(offset.as_micros())
    }
}
