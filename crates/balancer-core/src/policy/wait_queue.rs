//! The queue of requests that cannot be sent to any server yet.

use crate::RequestId;

/// Maximum number of queued requests.
const MAX_QUEUED_REQUESTS: usize = 500;

/// Error of [`WaitQueue::push`]: the queue is full.
#[derive(Debug)]
pub struct QueueFull;

/// The queued requests. Of several requests with the same rank, the newest is sent first. If the oldest
/// requests were sent first, every request would wait until shortly before its deadline.
#[derive(Default)]
pub struct WaitQueue {
    /// The ids of the queued requests. A new request is added before the others.
    requests: Vec<RequestId>,
}

impl WaitQueue {
    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Adds a request to the front of the queue.
    ///
    /// # Errors
    ///
    /// Returns [`QueueFull`] if the queue is full.
    pub fn push(&mut self, request: RequestId) -> Result<(), QueueFull> {
        if self.requests.len() >= MAX_QUEUED_REQUESTS {
            return Err(QueueFull);
        }
        self.requests.insert(0, request);
        Ok(())
    }

    /// Removes all requests from the queue and returns them by ascending rank. Requests with the same rank
    /// keep their order in the queue.
    pub fn take_by_rank<R: Ord>(&mut self, rank: impl Fn(RequestId) -> R) -> Vec<RequestId> {
        let mut requests = std::mem::take(&mut self.requests);
        requests.sort_by_cached_key(|&request| rank(request));
        requests
    }

    /// Puts requests that [`take_by_rank`](Self::take_by_rank) has returned back into the empty queue, in the
    /// given order.
    pub fn restore(&mut self, requests: Vec<RequestId>) {
        self.requests = requests;
    }
}

#[cfg(test)]
mod tests;
