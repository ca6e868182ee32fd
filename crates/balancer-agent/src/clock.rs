//! The agent's clock, which provides the balancer's times.

use balancer_core::{Span, Time};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The maximum offset from the start of the clock in a conversion to an instant, about 35 years. Longer
/// offsets are reduced to this value, because the addition of a much longer one would overflow.
const MAX_OFFSET: Span = Span::from_micros(1 << 50);

/// A clock that shows Unix time, so that its times can be compared with the start times of servers.
///
/// The clock reads the system clock once, at the start, and then advances with the monotonic clock. A step of
/// the system clock therefore does not move any deadline.
#[derive(Clone, Copy)]
pub struct Clock {
    started_at: Instant,
    unix_time_at_start: Time,
}

impl Clock {
    /// Creates a clock that starts now.
    pub fn start() -> Self {
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock {
            started_at: Instant::now(),
            unix_time_at_start: Time::from_micros(unix_time.as_micros() as u64),
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        self.time_of(Instant::now())
    }

    /// Converts an instant to a time. An instant before the start of the clock gives the time of the start.
    pub fn time_of(&self, instant: Instant) -> Time {
        let offset = instant.saturating_duration_since(self.started_at);
        self.unix_time_at_start + Span::from_micros(offset.as_micros() as u64)
    }

    /// Converts a time to an instant. A time before the start of the clock gives the instant of the start.
    pub fn instant_of(&self, time: Time) -> Instant {
        let offset = time.since(self.unix_time_at_start).min(MAX_OFFSET);
        self.started_at + Duration::from_micros(offset.as_micros())
    }
}
