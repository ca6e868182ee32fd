//! The schedule of the balancer's periodic work.

use crate::{Span, Time};

/// Interval between ticks while requests are queued.
const BUSY_INTERVAL: Span = Span::from_millis(10);
/// Interval between ticks while no request is queued.
const IDLE_INTERVAL: Span = Span::from_millis(50);

/// The schedule of ticks, in which the balancer does its periodic work.
pub struct TickSchedule {
    /// When the next tick is due.
    next_tick: Time,
}

impl TickSchedule {
    /// Creates a schedule whose first tick is due at once.
    pub fn new() -> Self {
        TickSchedule { next_tick: Time::EPOCH }
    }

    /// Returns whether the next tick is due at `now`. A timer that was set for an earlier schedule may expire
    /// before the next tick is due.
    pub fn is_due(&self, now: Time) -> bool {
        now >= self.next_tick
    }

    /// Schedules the tick after `now` and returns its time.
    pub fn schedule_next(&mut self, now: Time, has_queued_requests: bool) -> Time {
        self.next_tick = now + if has_queued_requests { BUSY_INTERVAL } else { IDLE_INTERVAL };
        self.next_tick
    }

    /// Brings the next tick forward after a request was queued. Returns the new time of the tick, or `None`
    /// if the tick is due soon enough already.
    ///
    /// A tick is never postponed. Otherwise, if requests were queued more often than ticks come, no tick
    /// would ever be due, and the queued requests would miss their deadlines.
    pub fn schedule_soon(&mut self, now: Time) -> Option<Time> {
        if self.next_tick <= now + BUSY_INTERVAL {
            return None;
        }
        Some(self.schedule_next(now, true))
    }
}

#[cfg(test)]
mod tests;
