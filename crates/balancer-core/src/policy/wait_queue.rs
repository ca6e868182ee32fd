//! The local queue of requests that no server is open to.

use crate::{Balancer, RequestId};

/// Longest queue, in requests.
const MAX_QUEUED: usize = 500;

impl Balancer {
    /// Queues a request, or finishes it if the queue is full.
    pub(crate) fn enqueue(&mut self, id: RequestId) {
        if self.queue.len() >= MAX_QUEUED {
            return self.finish(id);
        }
        self.queue.insert(0, id);
        self.tick_soon();
    }

    /// Sends what is queued and can go, newest first within each rank, and gives up what can no longer be
    /// answered in time. Oldest first would let every request wait until it is nearly too late.
    pub(crate) fn drain_queue(&mut self) {
        if self.queue.is_empty() {
            return;
        }
        let mut queue = std::mem::take(&mut self.queue);
        queue.sort_by_cached_key(|id| {
            let active = self.requests.get(id)?;
            Some((active.is_over_share, self.class_order[active.class()]))
        });
        queue.retain(|&id| {
            let Some(active) = self.requests.get(&id) else { return false };
            if self.has_waited_too_long(active) {
                self.finish(id);
                return false;
            }
            !self.dispatch(id)
        });
        self.queue = queue;
    }
}
