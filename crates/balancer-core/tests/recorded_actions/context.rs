//! The clock, the random numbers and the scheduled events of a simulation.

use super::schedule::{Schedule, ScheduledEvent};
use balancer_core::{Span, Time};

/// The time on the clock when a simulation starts.
const START_TIME: Time = Time::from_millis(1_000_000);

/// The clock, the random number generator and the schedule that all components of a simulation share.
pub struct Context {
    /// The source of all random numbers of the simulation.
    pub rng: fastrand::Rng,
    now: Time,
    schedule: Schedule,
}

impl Context {
    /// Creates a context with an empty schedule.
    pub fn new(seed: u64) -> Self {
        Context { rng: fastrand::Rng::with_seed(seed), now: START_TIME, schedule: Schedule::default() }
    }

    /// Returns the time on the clock.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Schedules an event that happens after `delay_ms`.
    pub fn schedule_after(&mut self, delay_ms: f64, event: ScheduledEvent) {
        self.schedule_at(self.now + Span::from_millis_f64(delay_ms), event);
    }

    /// Schedules an event that happens at a given time.
    pub fn schedule_at(&mut self, at: Time, event: ScheduledEvent) {
        self.schedule.add(at, event);
    }

    /// Advances the clock to the next event and returns the event, or `None` if none is scheduled.
    pub fn next_event(&mut self) -> Option<ScheduledEvent> {
        let scheduled = self.schedule.pop()?;
        self.now = self.now.max(scheduled.at);
        Some(scheduled.event)
    }

    /// Draws the time until the next of a series of independent events. The time is exponentially distributed
    /// with a mean of `mean_gap_ms`.
    pub fn draw_gap_ms(&mut self, mean_gap_ms: f64) -> f64 {
        -(1.0 - self.rng.f64()).ln() * mean_gap_ms
    }
}
