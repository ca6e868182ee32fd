//! The byte budget of the process, which bounds the memory that clients and servers can make the agent use.
//!
//! Everything that grows with what a peer sends reserves its bytes here before it takes memory: connections,
//! heads, bodies and responses. The budget decides what may still be taken; each user decides what to do if
//! it gets nothing (wait, close a connection, reject a request).

use bytes::Bytes;
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
/// The largest message that counts as small.
const MAX_SMALL_BYTES: usize = 16 << 10;
/// The number of kinds of users of the budget.
const KINDS: usize = 4;
/// The share of the budget that is guaranteed to each [`Kind`], in eighths. The rest goes to who comes first.
///
/// No kind can take what is guaranteed to another, so that a crowd of clients, servers or large messages
/// cannot keep small requests from being accepted, forwarded and served.
const GUARANTEED_EIGHTHS: [usize; KINDS] = [3, 1, 1, 1];

/// A kind of users of the budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    ClientConnections = 0,
    ServerConnections = 1,
    SmallMessages = 2,
    LargeMessages = 3,
}

/// What memory is reserved for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// An open connection of a client.
    ClientConnection,
    /// An open connection to a server.
    ServerConnection,
    /// The bytes of a head that is being received, beyond those that every connection has memory for.
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
    /// The tasks that wait for memory for small responses.
    small_lane: Lane,
    /// The tasks that wait for memory for large responses.
    large_lane: Lane,
}

impl Purpose {
    fn kind(self, bytes: usize) -> Kind {
        match self {
            Purpose::ClientConnection => Kind::ClientConnections,
            Purpose::ServerConnection => Kind::ServerConnections,
            Purpose::ReceiveBuffer => Kind::SmallMessages,
            Purpose::Request | Purpose::Response if bytes <= MAX_SMALL_BYTES => Kind::SmallMessages,
            Purpose::Request | Purpose::Response => Kind::LargeMessages,
        }
    }
}

/// The bytes that are reserved by each [`Kind`].
type Usage = [usize; KINDS];

/// A queue of tasks that wait for memory, in the order in which they came.
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
                large_lane: Lane::default(),
            }),
        }
    }

    /// Returns the number of bytes that may be reserved in total.
    pub fn capacity(&self) -> usize {
        self.shared.capacity
    }

    /// Returns the number of bytes that are reserved now.
    pub fn reserved(&self) -> usize {
        self.shared.usage().iter().sum()
    }

    /// Reserves bytes until the returned reservation is dropped. Returns `None` if too many are reserved.
    pub fn try_reserve(&self, purpose: Purpose, bytes: usize) -> Option<Reservation> {
        let mut usage = self.shared.usage();
        if bytes > self.shared.available(&usage, purpose, bytes) {
            return None;
        }
        let kind = purpose.kind(bytes);
        usage[kind as usize] += bytes;
        Some(Reservation { shared: self.shared.clone(), kind, bytes })
    }

    /// Waits until bytes can be reserved for a response. Responses are served in the order of the calls,
    /// small ones apart from large ones.
    pub async fn reserve_response(&self, bytes: usize) -> Reservation {
        let lane = if bytes <= MAX_SMALL_BYTES { &self.shared.small_lane } else { &self.shared.large_lane };
        let _turn = lane.turn.lock().await;
        loop {
            if let Some(reservation) = self.try_reserve(Purpose::Response, bytes) {
                return reservation;
            }
            lane.released.notified().await;
        }
    }
}

impl Shared {
    /// Returns the usage. The lock is held for single steps that cannot panic, so a poisoned lock is usable.
    fn usage(&self) -> MutexGuard<'_, Usage> {
        self.usage.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns how many bytes may be reserved in addition to those in use, for a purpose of this size.
    ///
    /// Large requests may use only half of what large messages could use, so that the responses to them find
    /// memory. Likewise, heads may use only half of what small messages could use, so that heads that never
    /// become complete leave memory for small requests and their responses.
    fn available(&self, usage: &Usage, purpose: Purpose, bytes: usize) -> usize {
        let kind = purpose.kind(bytes);
        let committed_to = |other: usize| usage[other].max(self.capacity / 8 * GUARANTEED_EIGHTHS[other]);
        let committed: usize = (0..KINDS).filter(|other| *other != kind as usize).map(committed_to).sum();
        let mut share = self.capacity.saturating_sub(committed);
        let is_half_of_share = match purpose {
            Purpose::ReceiveBuffer => true,
            Purpose::Request => kind == Kind::LargeMessages,
            Purpose::ClientConnection | Purpose::ServerConnection | Purpose::Response => false,
        };
        if is_half_of_share {
            share /= 2;
        }
        share.saturating_sub(usage[kind as usize])
    }

    fn release(&self, kind: Kind, bytes: usize) {
        self.usage()[kind as usize] -= bytes;
        for lane in [&self.small_lane, &self.large_lane] {
            lane.released.notify_one();
        }
    }
}

/// Reserved bytes of the budget, which are released on drop.
pub struct Reservation {
    shared: Arc<Shared>,
    kind: Kind,
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
            self.shared.release(self.kind, released);
        }
    }

    /// Returns the content as [`Bytes`] that keep the reservation until the last of them is dropped.
    pub fn into_bytes(self, content: Vec<u8>) -> Bytes {
        Bytes::from_owner(ReservedContent { content, _reservation: self })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.shared.release(self.kind, self.bytes);
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
