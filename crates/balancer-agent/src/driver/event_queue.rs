//! The balancer and the queue of its events.

use balancer_core::{Action, Balancer, Event, Time};
use std::collections::VecDeque;

/// A balancer and the events that it has not handled yet, in the order in which they were queued.
pub struct EventQueue {
    balancer: Balancer,
    pending: VecDeque<Event>,
}

impl EventQueue {
    /// Creates an empty queue for a balancer that has been started.
    pub fn new(balancer: Balancer) -> Self {
        EventQueue { balancer, pending: VecDeque::new() }
    }

    /// Appends an event to the queue.
    pub fn push(&mut self, event: Event) {
        self.pending.push_back(event);
    }

    /// Lets the balancer handle the first queued event and appends the resulting actions to `actions`.
    /// Returns `false` if the queue is empty.
    pub fn handle_next(&mut self, now: Time, actions: &mut Vec<Action>) -> bool {
        let Some(event) = self.pending.pop_front() else { return false };
        self.balancer.handle(now, event, actions);
        true
    }
}
