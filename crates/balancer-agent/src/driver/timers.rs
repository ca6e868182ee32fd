//! The timers that the balancer has set.

use crate::clock::Clock;
use balancer_core::{Time, TimerId};
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use tokio::sync::Notify;
use tokio::time::{sleep_until, Instant};

/// The pending timers, ordered by the time at which they are due.
#[derive(Default)]
pub struct Timers {
    pending: RefCell<BinaryHeap<Reverse<(Time, TimerId)>>>,
    /// The notification that a new timer is due before all others.
    soonest_changed: Notify,
}

impl Timers {
    /// Sets a timer that is due at `at`. A timer cannot be cancelled.
    pub fn set(&self, at: Time, timer: TimerId) {
        let is_soonest = self.next_due().is_none_or(|next| at < next);
        self.pending.borrow_mut().push(Reverse((at, timer)));
        if is_soonest {
            self.soonest_changed.notify_one();
        }
    }

    /// Removes and returns the timer that was due first, or returns `None` if no timer is due.
    pub fn pop_due(&self, now: Time) -> Option<TimerId> {
        self.next_due().filter(|at| *at <= now)?;
        let Reverse((_, timer)) = self.pending.borrow_mut().pop()?;
        Some(timer)
    }

    /// Waits until the next timer is due, but not after `latest`. Returns early when a timer is set that is
    /// due before all others.
    pub async fn wait(&self, clock: &Clock, latest: Instant) {
        let next_due = self.next_due().map(|at| clock.instant_of(at));
        let wake_at = next_due.map_or(latest, |next_due| next_due.min(latest));
        tokio::select! {
            () = sleep_until(wake_at) => {}
            () = self.soonest_changed.notified() => {}
        }
    }

    fn next_due(&self) -> Option<Time> {
        self.pending.borrow().peek().map(|Reverse((at, _))| *at)
    }
}

#[cfg(test)]
mod tests;
