//! When the balancer wakes itself.

use crate::{Span, Time};

/// Interval of ticks while requests are queued.
const BUSY_INTERVAL: Span = Span::from_millis(10);
/// Interval of ticks while none are.
const IDLE_INTERVAL: Span = Span::from_millis(50);

/// The schedule of ticks.
pub struct TickSchedule {
    next_tick: Time,
}

impl TickSchedule {
    /// A schedule whose first tick is due at once.
    pub fn new() -> Self {
        TickSchedule { next_tick: Time::EPOCH }
    }

    /// Whether the next tick is due. A timer that was set for an earlier schedule comes too soon.
    pub fn is_due(&self, now: Time) -> bool {
        now >= self.next_tick
    }

    /// Schedules the next tick and returns its time.
    pub fn schedule_next(&mut self, now: Time, has_queued_requests: bool) -> Time {
        self.next_tick = now + if has_queued_requests { BUSY_INTERVAL } else { IDLE_INTERVAL };
        self.next_tick
    }

    /// Schedules a tick soon and returns its time; `None` if one is due no later anyway. A tick is never
    /// postponed: requests that are queued before each tick would starve it and miss their deadlines.
    pub fn schedule_soon(&mut self, now: Time) -> Option<Time> {
        if self.next_tick <= now + BUSY_INTERVAL {
            return None;
        }
        Some(self.schedule_next(now, true))
    }
}

#[cfg(test)]
mod tests;
