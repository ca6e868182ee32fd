//! An estimate of how long connections have waited in the kernel's accept queue.

use std::collections::VecDeque;
use tokio::time::Instant;

/// The backlog of the listening socket. Further clients connect once the queue is shorter.
pub const ACCEPT_BACKLOG: u32 = 128;
/// The maximum number of connections in the queue. The kernel queues one connection more than the backlog.
const MAX_QUEUE_LENGTH: usize = ACCEPT_BACKLOG as usize + 1;

/// What is known about the accept queue. The kernel does not report when a connection entered it.
#[derive(Default)]
pub struct AcceptQueue {
    /// When the first connection was accepted after the queue had been empty; `None` if it was empty when it
    /// was looked at last.
    nonempty_since: Option<Instant>,
    /// When the last connections were accepted since then, at most [`MAX_QUEUE_LENGTH`] of them, oldest
    /// first.
    accepted_at: VecDeque<Instant>,
}

impl AcceptQueue {
    /// Records that the queue is empty.
    pub fn record_empty(&mut self) {
        self.nonempty_since = None;
        self.accepted_at.clear();
    }

    /// Records that a connection is accepted now. Returns the earliest time at which it can have entered the
    /// queue: after the queue was empty, and after a full queue of connections before it.
    pub fn record_accept(&mut self) -> Instant {
        let now = Instant::now();
        let nonempty_since = *self.nonempty_since.get_or_insert(now);
        let is_full = self.accepted_at.len() == MAX_QUEUE_LENGTH;
        let queue_before = if is_full { self.accepted_at.pop_front() } else { None };
        self.accepted_at.push_back(now);
        queue_before.map_or(nonempty_since, |accepted_at| accepted_at.max(nonempty_since))
    }
}

#[cfg(test)]
mod tests;
