//! The buffer for the bytes that have been received on a client connection and not been consumed.

use crate::memory::{MemoryBudget, Purpose, Reservation};
use bytes::{Buf, BytesMut};
use std::ops::Deref;

/// The capacity for which every connection has memory, in bytes. A larger buffer reserves the difference.
const MIN_CAPACITY_BYTES: usize = 4 << 10;

/// A buffer of received bytes, whose memory comes from the budget.
pub struct ReceiveBuffer {
    bytes: BytesMut,
    memory: MemoryBudget,
    /// The memory beyond [`MIN_CAPACITY_BYTES`].
    reservation: Option<Reservation>,
}

impl ReceiveBuffer {
    /// Creates an empty buffer that takes its memory from `memory`.
    pub fn new(memory: MemoryBudget) -> Self {
        ReceiveBuffer { bytes: BytesMut::new(), memory, reservation: None }
    }

    /// Returns whether `additional` bytes can be appended. Memory beyond [`MIN_CAPACITY_BYTES`] is reserved
    /// only if the bytes need it.
    pub fn make_room(&mut self, additional: usize) -> bool {
        if additional <= self.room() {
            return true;
        }
        let capacity = (self.bytes.len() + additional).next_multiple_of(MIN_CAPACITY_BYTES);
        match self.memory.try_reserve(Purpose::ReceiveBuffer, capacity - MIN_CAPACITY_BYTES) {
            Some(reservation) => {
                self.grow(capacity, reservation);
                true
            }
            None => false,
        }
    }

    /// Returns how many bytes can be appended with the memory that the buffer has.
    pub fn room(&self) -> usize {
        self.capacity() - self.bytes.len()
    }

    /// Appends bytes. The caller must ensure that there is room for them.
    pub fn extend(&mut self, bytes: &[u8]) {
        if self.bytes.capacity() == 0 {
            self.bytes.reserve(MIN_CAPACITY_BYTES);
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// Removes the first `length` bytes. An empty buffer gives its memory back.
    pub fn consume(&mut self, length: usize) {
        self.bytes.advance(length);
        if self.bytes.is_empty() {
            self.bytes = BytesMut::new();
            self.reservation = None;
        }
    }

    /// Returns how many bytes the buffer has memory for.
    fn capacity(&self) -> usize {
        MIN_CAPACITY_BYTES + self.reservation.as_ref().map_or(0, Reservation::bytes)
    }

    /// Moves the bytes to a buffer of this capacity. `BytesMut` alone would double its capacity.
    fn grow(&mut self, capacity: usize, reservation: Reservation) {
        let mut grown = BytesMut::with_capacity(capacity);
        grown.extend_from_slice(&self.bytes);
        self.bytes = grown;
        self.reservation = Some(reservation);
    }
}

impl Deref for ReceiveBuffer {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

#[cfg(test)]
mod tests;
