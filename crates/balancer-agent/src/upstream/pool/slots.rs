//! The limits on the number and the memory of connections to servers.

use crate::memory::{MemoryBudget, Purpose, Reservation};
use std::cell::Cell;
use std::rc::Rc;

/// The memory of one connection: its task, its buffers for reading and writing, and the longest response head.
const CONNECTION_BYTES: usize = 28 << 10;

/// The slots for connections to servers. Each connection that is open or being opened occupies one slot.
pub struct ConnectionSlots {
    max_connections: usize,
    in_use: Rc<Cell<usize>>,
    memory: MemoryBudget,
}

impl ConnectionSlots {
    /// Creates `max_connections` free slots, whose connections take their memory from `memory`.
    pub fn new(max_connections: usize, memory: MemoryBudget) -> Self {
        ConnectionSlots { max_connections, in_use: Rc::default(), memory }
    }

    /// Returns whether all slots are in use.
    pub fn is_exhausted(&self) -> bool {
        self.in_use.get() >= self.max_connections
    }

    /// Reserves a slot for one connection. Returns `None` if all slots are in use or memory is short.
    pub fn reserve(&self) -> Option<ConnectionSlot> {
        if self.is_exhausted() {
            return None;
        }
        let memory = self.memory.try_reserve(Purpose::ServerConnection, CONNECTION_BYTES)?;
        self.in_use.set(self.in_use.get() + 1);
        Some(ConnectionSlot { in_use: self.in_use.clone(), _memory: memory })
    }
}

/// The slot of one connection. Dropping the value frees the slot.
pub struct ConnectionSlot {
    in_use: Rc<Cell<usize>>,
    _memory: Reservation,
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.in_use.set(self.in_use.get() - 1);
    }
}
