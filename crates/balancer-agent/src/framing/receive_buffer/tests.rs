//! Tests of the memory that a buffer takes from the budget.

use super::*;

#[test]
fn a_buffer_reserves_what_it_holds_beyond_its_minimum_and_gives_it_back() {
    let memory = MemoryBudget::with_capacity(100 << 10);
    let mut buffer = ReceiveBuffer::new(memory.clone());
    assert!(buffer.make_room(MIN_CAPACITY_BYTES));
    buffer.extend(&[1; MIN_CAPACITY_BYTES]);
    assert_eq!((memory.reserved(), buffer.room()), (0, 0));

    assert!(buffer.make_room(1));
    assert_eq!(buffer.room(), MIN_CAPACITY_BYTES);
    buffer.extend(&[2; 10]);
    assert_eq!(buffer.room(), MIN_CAPACITY_BYTES - 10);
    assert_eq!(memory.reserved(), MIN_CAPACITY_BYTES);
    assert_eq!(&buffer[MIN_CAPACITY_BYTES - 1..][..2], &[1, 2]);

    buffer.consume(MIN_CAPACITY_BYTES + 10);
    assert_eq!(memory.reserved(), 0);
}

#[test]
fn a_buffer_grows_only_if_there_is_memory() {
    let memory = MemoryBudget::with_capacity(8 * MIN_CAPACITY_BYTES);
    let held = memory.try_reserve(Purpose::ReceiveBuffer, MIN_CAPACITY_BYTES).expect("memory");
    let mut buffer = ReceiveBuffer::new(memory);
    buffer.extend(&[1; MIN_CAPACITY_BYTES]);
    assert!(!buffer.make_room(1));
    assert_eq!(buffer.room(), 0);

    drop(held);

    assert!(buffer.make_room(1));
    assert_eq!(buffer.room(), MIN_CAPACITY_BYTES);
}

/// Guards against a short message in pieces that waits for memory although its connection has room for it.
#[test]
fn a_buffer_that_is_not_full_needs_no_memory() {
    let memory = MemoryBudget::with_capacity(0);
    let mut buffer = ReceiveBuffer::new(memory);
    for received in 1..MIN_CAPACITY_BYTES {
        buffer.extend(&[1]);

        assert_eq!(buffer.room(), MIN_CAPACITY_BYTES - received);
        assert!(buffer.make_room(MIN_CAPACITY_BYTES - received));
    }
}
