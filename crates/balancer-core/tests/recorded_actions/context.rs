//! The time, the random numbers and the future events of a simulation.

use super::schedule::{Schedule, ScheduledEvent};
use balancer_core::{Span, Time};

/// The clock at the start of a simulation.
const START: Time = Time::from_millis(1_000_000);

/// What all parts of a simulation share.
pub struct Context {
    pub rng: fastrand::Rng,
    now: Time,
    schedule: Schedule,
}

impl Context {
    pub fn new(seed: u64) -> Self {
        Context { rng: fastrand::Rng::with_seed(seed), now: START, schedule: Schedule::default() }
    }

    pub fn now(&self) -> Time {
        self.now
    }

    /// Schedules an event for a moment from now.
    pub fn schedule_after(&mut self, after_ms: f64, event: ScheduledEvent) {
        self.schedule_at(self.now + Span::from_millis_f64(after_ms), event);
    }

    pub fn schedule_at(&mut self, at: Time, event: ScheduledEvent) {
        self.schedule.add(at, event);
    }

    /// Advances the clock to the next event and returns that event.
    pub fn next_event(&mut self) -> Option<ScheduledEvent> {
        let scheduled = self.schedule.pop()?;
        self.now = self.now.max(scheduled.at);
        Some(scheduled.event)
    }

    /// The time until an event that recurs at random, about once in `mean_gap_ms`.
    pub fn draw_gap_ms(&mut self, mean_gap_ms: f64) -> f64 {
        -(1.0 - self.rng.f64()).ln() * mean_gap_ms
    }
}
