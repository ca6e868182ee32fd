//! The number of connections to servers that the process may hold.

use std::cell::Cell;
use std::rc::Rc;

/// Counts the connections that are open or being opened against their maximum.
pub struct ConnectionSlots {
    max_connections: usize,
    in_use: Rc<Cell<usize>>,
}

impl ConnectionSlots {
    /// Slots for at most `max_connections` connections, all of them free.
    pub fn new(max_connections: usize) -> Self {
        ConnectionSlots { max_connections, in_use: Rc::default() }
    }

    /// Whether every slot is in use.
    pub fn is_exhausted(&self) -> bool {
        self.in_use.get() >= self.max_connections
    }

    /// Reserves a slot for one connection. The caller has made sure that one is free.
    pub fn reserve(&self) -> ConnectionSlot {
        self.in_use.set(self.in_use.get() + 1);
        ConnectionSlot { in_use: self.in_use.clone() }
    }
}

/// One connection's slot; dropping it frees the slot.
pub struct ConnectionSlot {
    in_use: Rc<Cell<usize>>,
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.in_use.set(self.in_use.get() - 1);
    }
}
