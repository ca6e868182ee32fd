//! The identifiers of the successive processes of a server.

use std::cell::Cell;

/// The identifier of one process of a server at one address. A connection to an earlier incarnation of a
/// server is not used for a later one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Incarnation(u64);

/// The counter that assigns numbers to incarnations. All servers share one counter, so incarnations are
/// unique even if a server takes over the address of another server.
#[derive(Default)]
pub struct IncarnationCounter {
    last: Cell<u64>,
}

impl IncarnationCounter {
    /// Returns an incarnation that has not been used before.
    pub fn next(&self) -> Incarnation {
        self.last.set(self.last.get() + 1);
        Incarnation(self.last.get())
    }
}
