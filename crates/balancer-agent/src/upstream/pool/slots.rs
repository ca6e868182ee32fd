//! The limit on the number of connections to servers.

use std::cell::Cell;
use std::rc::Rc;

/// The slots for connections to servers. Each connection that is open or being opened occupies one slot.
pub struct ConnectionSlots {
    max_connections: usize,
    in_use: Rc<Cell<usize>>,
}

impl ConnectionSlots {
    /// Creates `max_connections` free slots.
    pub fn new(max_connections: usize) -> Self {
        ConnectionSlots { max_connections, in_use: Rc::default() }
    }

    /// Returns whether all slots are in use.
    pub fn is_exhausted(&self) -> bool {
        self.in_use.get() >= self.max_connections
    }

    /// Reserves a slot for one connection. The caller must ensure that a slot is free.
    pub fn reserve(&self) -> ConnectionSlot {
        self.in_use.set(self.in_use.get() + 1);
        ConnectionSlot { in_use: self.in_use.clone() }
    }
}

/// The slot of one connection. Dropping the value frees the slot.
pub struct ConnectionSlot {
    in_use: Rc<Cell<usize>>,
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.in_use.set(self.in_use.get() - 1);
    }
}
