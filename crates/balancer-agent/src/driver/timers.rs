//! The balancer's timers.

use balancer_core::{Time, TimerId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Timers that are set, soonest first.
#[derive(Default)]
pub struct TimerQueue {
    timers: BinaryHeap<Reverse<(Time, TimerId)>>,
}

impl TimerQueue {
    /// Sets a timer; true if it is the next one that is due.
    pub fn set(&mut self, at: Time, timer: TimerId) -> bool {
        let is_next = self.next_due().is_none_or(|next| at < next);
        self.timers.push(Reverse((at, timer)));
        is_next
    }

    /// When the next timer is due.
    pub fn next_due(&self) -> Option<Time> {
        self.timers.peek().map(|Reverse((at, _))| *at)
    }

    /// The next timer, if it is due.
    pub fn take_due(&mut self, now: Time) -> Option<TimerId> {
        self.next_due().filter(|at| *at <= now)?;
        self.timers.pop().map(|Reverse((_, timer))| timer)
    }
}
