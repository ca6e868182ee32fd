//! The balancer and the events that it has not handled yet.

use balancer_core::{Action, Balancer, Event, Time};
use std::collections::VecDeque;

/// Hands events to the balancer one by one, in the order in which they were queued.
pub struct EventQueue {
    balancer: Balancer,
    pending: VecDeque<Event>,
}

impl EventQueue {
    /// An empty queue in front of a balancer that has been started.
    pub fn new(balancer: Balancer) -> Self {
        EventQueue { balancer, pending: VecDeque::new() }
    }

    /// Adds an event at the end.
    pub fn push(&mut self, event: Event) {
        self.pending.push_back(event);
    }

    /// Has the balancer handle the first event and appends what it decides to `actions`. Returns false if the
    /// queue is empty.
    pub fn handle_next(&mut self, now: Time, actions: &mut Vec<Action>) -> bool {
        let Some(event) = self.pending.pop_front() else { return false };
        self.balancer.handle(now, event, actions);
        true
    }
}
