//! The local queue of requests that no server is open to.

use crate::RequestId;

/// Longest queue, in requests.
const MAX_LENGTH: usize = 500;

/// The queue takes no more requests.
#[derive(Debug)]
pub struct QueueFull;

/// Queued requests, newest first. Oldest first would let every request wait until it is nearly too late.
#[derive(Default)]
pub struct WaitQueue {
    requests: Vec<RequestId>,
}

impl WaitQueue {
    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Adds a request.
    ///
    /// # Errors
    ///
    /// If the queue is full.
    pub fn push(&mut self, request: RequestId) -> Result<(), QueueFull> {
        if self.requests.len() >= MAX_LENGTH {
            return Err(QueueFull);
        }
        self.requests.insert(0, request);
        Ok(())
    }

    /// Empties the queue; its requests come by rank, newest first within each rank.
    pub fn take_by_rank<R: Ord>(&mut self, rank: impl Fn(RequestId) -> R) -> Vec<RequestId> {
        let mut requests = std::mem::take(&mut self.requests);
        requests.sort_by_cached_key(|&request| rank(request));
        requests
    }

    /// Puts back what is left of the requests that were taken, in their order.
    pub fn restore(&mut self, requests: Vec<RequestId>) {
        self.requests = requests;
    }
}

#[cfg(test)]
mod tests;
