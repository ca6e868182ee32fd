//! Telling apart the successive processes of servers.

use std::cell::Cell;

/// Identifies one process at one address. Connections to an earlier incarnation of a server are not used for a
/// later one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Incarnation(u64);

/// Numbers incarnations across all servers, so that no two processes share one, even if a server takes another
/// one's address.
#[derive(Default)]
pub struct IncarnationCounter {
    last: Cell<u64>,
}

impl IncarnationCounter {
    /// An incarnation that was not used before.
    pub fn next(&self) -> Incarnation {
        self.last.set(self.last.get() + 1);
        Incarnation(self.last.get())
    }
}
