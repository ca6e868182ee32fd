//! The byte budget of the process, which bounds the memory that clients and servers can make the agent use.
//!
//! Everything that grows with what a peer sends reserves its bytes here before it takes memory: connections,
//! heads, bodies and responses. The budget decides what may still be taken; each user decides what to do if it
//! gets nothing (wait, close a connection, reject a request).

use bytes::Bytes;
use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// The memory for everything that peers do not control: the program, its runtime, the endpoint lists and the
/// state of the balancer with 3,200 servers.
const PROCESS_BYTES: usize = 8_000_000;
/// The fraction of the rest that may be reserved. The allocator needs the other part: it rounds sizes up, and
/// free memory between blocks in use cannot always be used.
const USABLE_FRACTION: f64 = 0.75;
/// The lowest capacity of a budget, with which the agent still serves small requests.
const MIN_CAPACITY_BYTES: usize = 4_000_000;
/// The largest reservation that counts as small. Small reservations may use the whole budget, so that large
/// bodies cannot keep small requests from being served.
const MAX_SMALL_BYTES: usize = 16 << 10;

/// What memory is reserved for. Earlier variants are refused at a lower usage than later ones, so that the work
/// that has begun can be completed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// An open connection of a client.
    ClientConnection,
    /// An open connection to a server.
    ServerConnection,
    /// The bytes of a request that is being received, beyond those that every connection has memory for.
    ReceiveBuffer,
    /// The head and body of a request.
    Request,
    /// A response.
    Response,
}

/// The byte budget. Clones share one budget.
#[derive(Clone)]
pub struct MemoryBudget {
    shared: Arc<Shared>,
}

struct Shared {
    capacity: usize,
    usage: Mutex<Usage>,
    small_lane: Lane,
    request_lane: Lane,
    response_lane: Lane,
}

/// The reserved bytes.
#[derive(Default)]
struct Usage {
    connections: usize,
    messages: usize,
}

/// The tasks that wait for memory of one kind, in the order in which they came.
#[derive(Default)]
struct Lane {
    /// Held by the task whose turn it is.
    turn: tokio::sync::Mutex<()>,
    /// The notification that memory has been released, for the task whose turn it is.
    released: Notify,
}

impl MemoryBudget {
    /// Creates the budget of a process that may use `memory_limit` bytes in total.
    pub fn for_process(memory_limit: usize) -> Self {
        let shared_by_peers = memory_limit.saturating_sub(PROCESS_BYTES) as f64;
        MemoryBudget::with_capacity(((shared_by_peers * USABLE_FRACTION) as usize).max(MIN_CAPACITY_BYTES))
    }

    /// Creates a budget of `capacity` bytes.
    pub fn with_capacity(capacity: usize) -> Self {
        MemoryBudget {
            shared: Arc::new(Shared {
                capacity,
                usage: Mutex::default(),
                small_lane: Lane::default(),
                request_lane: Lane::default(),
                response_lane: Lane::default(),
            }),
        }
    }

    /// Returns the number of bytes that may be reserved in total.
    pub fn capacity(&self) -> usize {
        self.shared.capacity
    }

    /// Returns the number of bytes that are reserved now.
    pub fn reserved(&self) -> usize {
        let usage = self.shared.usage();
        usage.connections + usage.messages
    }

    /// Reserves bytes until the returned reservation is dropped. Returns `None` if too many are reserved.
    pub fn try_reserve(&self, purpose: Purpose, bytes: usize) -> Option<Reservation> {
        let mut usage = self.shared.usage();
        if !self.shared.fits(&usage, purpose, bytes) {
            return None;
        }
        *usage.of_mut(purpose) += bytes;
        Some(Reservation { shared: self.shared.clone(), purpose, bytes })
    }

    /// Waits until bytes can be reserved. Equal purposes are served in the order of their calls, small
    /// reservations apart from large ones.
    pub async fn reserve(&self, purpose: Purpose, bytes: usize) -> Reservation {
        let lane = self.shared.lane(purpose, bytes);
        let _turn = lane.turn.lock().await;
        loop {
            if let Some(reservation) = self.try_reserve(purpose, bytes) {
                return reservation;
            }
            lane.released.notified().await;
        }
    }

    /// Returns a future like that of [`MemoryBudget::reserve`] that can be stored.
    pub fn reserve_later(&self, purpose: Purpose, bytes: usize) -> PendingReservation {
        let budget = self.clone();
        Box::pin(async move { budget.reserve(purpose, bytes).await })
    }
}

/// A reservation that is waited for.
pub type PendingReservation = Pin<Box<dyn Future<Output = Reservation>>>;

impl Shared {
    /// Returns the usage. The lock is held for single steps that cannot panic, so a poisoned lock is usable.
    fn usage(&self) -> MutexGuard<'_, Usage> {
        self.usage.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether bytes may be reserved in addition to those in use.
    ///
    /// Connections of clients are accepted while all connections use less than five eighths of the budget, and
    /// connections to servers are opened up to three quarters, so that the requests of a crowd can be forwarded.
    /// Of what connections leave, long heads and large requests may use a half, large responses three quarters, and
    /// small requests and responses everything.
    fn fits(&self, usage: &Usage, purpose: Purpose, bytes: usize) -> bool {
        let total = usage.connections + usage.messages + bytes;
        let message_capacity = self.capacity.saturating_sub(usage.connections);
        let is_within_share = match purpose {
            Purpose::ClientConnection => usage.connections + bytes <= self.capacity / 8 * 5,
            Purpose::ServerConnection => usage.connections + bytes <= self.capacity / 4 * 3,
            Purpose::Request | Purpose::Response if bytes <= MAX_SMALL_BYTES => true,
            Purpose::ReceiveBuffer | Purpose::Request => usage.messages + bytes <= message_capacity / 2,
            Purpose::Response => usage.messages + bytes <= message_capacity / 4 * 3,
        };
        is_within_share && total <= self.capacity
    }

    fn lane(&self, purpose: Purpose, bytes: usize) -> &Lane {
        match purpose {
            Purpose::ServerConnection | Purpose::ClientConnection | Purpose::ReceiveBuffer => {
                &self.request_lane
            }
            Purpose::Request | Purpose::Response if bytes <= MAX_SMALL_BYTES => &self.small_lane,
            Purpose::Request => &self.request_lane,
            Purpose::Response => &self.response_lane,
        }
    }

    fn release(&self, purpose: Purpose, bytes: usize) {
        *self.usage().of_mut(purpose) -= bytes;
        for lane in [&self.small_lane, &self.response_lane, &self.request_lane] {
            lane.released.notify_one();
        }
    }
}

impl Usage {
    fn of_mut(&mut self, purpose: Purpose) -> &mut usize {
        match purpose {
            Purpose::ServerConnection | Purpose::ClientConnection => &mut self.connections,
            Purpose::ReceiveBuffer | Purpose::Request | Purpose::Response => &mut self.messages,
        }
    }
}

/// Reserved bytes of the budget, which are released on drop.
pub struct Reservation {
    shared: Arc<Shared>,
    purpose: Purpose,
    bytes: usize,
}

impl Reservation {
    /// Returns the number of reserved bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Releases all but `bytes` bytes. Has no effect if no more than that are reserved.
    pub fn shrink_to(&mut self, bytes: usize) {
        let released = self.bytes.saturating_sub(bytes);
        if released > 0 {
            self.bytes = bytes;
            self.shared.release(self.purpose, released);
        }
    }

    /// Returns the content as [`Bytes`] that keep the reservation until the last of them is dropped.
    pub fn into_bytes(self, content: Vec<u8>) -> Bytes {
        Bytes::from_owner(ReservedContent { content, _reservation: self })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.shared.release(self.purpose, self.bytes);
    }
}

/// Bytes whose memory is reserved.
struct ReservedContent {
    content: Vec<u8>,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedContent {
    fn as_ref(&self) -> &[u8] {
        &self.content
    }
}

#[cfg(test)]
mod tests;
