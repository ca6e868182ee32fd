//! The table of open client connections.
//!
//! Each connection occupies a slot. When all slots are in use, the agent evicts connections to free a slot.

use super::client_connection::{ClientConnection, ConnectionId};
use super::eviction::EvictionRank;
use super::slot_usage::SlotUsage;
use crate::memory::{MemoryBudget, Purpose, Reservation};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::{timeout, Instant};

/// The interval at which a wait for a slot searches for a connection that has become evictable.
const EVICTION_INTERVAL: Duration = Duration::from_millis(20);
/// The memory of one connection: its task, and its buffers for reading and writing short messages.
const CONNECTION_BYTES: usize = 20 << 10;

/// A free slot for a connection, with the memory of the connection.
pub struct FreeSlot(Reservation);

/// The table of open client connections.
pub struct ConnectionTable {
    max_connections: usize,
    memory: MemoryBudget,
    next_id: Cell<ConnectionId>,
    connections: RefCell<HashMap<ConnectionId, Rc<ClientConnection>>>,
    /// The signal that a connection has been closed. At most one task waits for it at a time: the accept loop
    /// for a free slot, or afterwards the shutdown for the close of all connections.
    connection_closed: Notify,
}

impl ConnectionTable {
    /// Creates a table with `max_connections` slots. Connections take their memory from `memory`.
    pub fn new(max_connections: usize, memory: MemoryBudget) -> Self {
        ConnectionTable {
            max_connections,
            memory,
            next_id: Cell::default(),
            connections: RefCell::default(),
            connection_closed: Notify::new(),
        }
    }

    /// Returns the current slot usage.
    pub fn usage(&self) -> SlotUsage {
        SlotUsage::of(self.open_count(), self.max_connections)
    }

    /// Returns the number of open connections.
    pub fn open_count(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Adds a connection that has got a slot, and whose client connected at this time at the earliest.
    pub fn open(&self, slot: FreeSlot, connected_at: Instant) -> Rc<ClientConnection> {
        let id = self.next_id.get();
        self.next_id.set(id.next());
        let connection = Rc::new(ClientConnection::new(id, self.memory.clone(), slot.0, connected_at));
        self.connections.borrow_mut().insert(id, connection.clone());
        connection
    }

    /// Removes a connection that has been closed, and so frees its slot.
    pub fn close(&self, id: ConnectionId) {
        self.connections.borrow_mut().remove(&id);
        self.connection_closed.notify_one();
    }

    /// Waits until a slot is free and there is memory for a connection. Meanwhile, evictable connections are
    /// evicted one by one. If only memory is short, `release_memory` is called before; it returns whether it
    /// has released some.
    pub async fn wait_for_slot(&self, release_memory: impl Fn() -> bool) -> FreeSlot {
        loop {
            if let Some(slot) = self.free_slot() {
                return slot;
            }
            let is_memory_short = self.open_count() < self.max_connections;
            if is_memory_short && release_memory() {
                // The released memory is free once the task that held it has ended.
                yield_now().await;
                continue;
            }
            self.evict_one();
            // This wait ends when a connection has been closed, or when the next search for an evictable one
            // is due.
            let _ = timeout(EVICTION_INTERVAL, self.connection_closed.notified()).await;
        }
    }

    /// Returns a free slot, or `None` if all slots are in use or there is no memory for a connection.
    pub fn free_slot(&self) -> Option<FreeSlot> {
        if self.open_count() >= self.max_connections {
            return None;
        }
        self.memory.try_reserve(Purpose::ClientConnection, CONNECTION_BYTES).map(FreeSlot)
    }

    /// Waits until all connections are closed.
    pub async fn wait_until_empty(&self) {
        while !self.connections.borrow().is_empty() {
            self.connection_closed.notified().await;
        }
    }

    /// Requests the eviction of the connection with the lowest [`EvictionRank`], if one may be evicted.
    fn evict_one(&self) {
        let connections = self.connections.borrow();
        let evictable = connections
            .iter()
            .filter_map(|(id, connection)| Some(((EvictionRank::of(connection.state())?, *id), connection)));
        if let Some((_, connection)) = evictable.min_by(|(key, _), (other, _)| key.cmp(other)) {
            connection.request_eviction();
        }
    }
}
