//! Tests of the order and the maximum length of the queue.

use super::*;

fn queue_of(ids: impl IntoIterator<Item = u64>) -> WaitQueue {
    let mut queue = WaitQueue::default();
    for id in ids {
        queue.push(RequestId(id)).expect("the queue is not full");
    }
    queue
}

#[test]
fn requests_come_newest_first_within_each_rank() {
    let mut queue = queue_of(1..=4);

    let taken = queue.take_by_rank(|id| id.0 % 2);

    assert_eq!(taken, [4, 2, 3, 1].map(RequestId));
    assert!(queue.is_empty());
}

#[test]
fn restored_requests_keep_their_order() {
    let mut queue = queue_of(1..=3);
    let mut taken = queue.take_by_rank(|_| ());
    taken.retain(|id| id.0 != 2);

    queue.restore(taken);

    assert_eq!(queue.take_by_rank(|_| ()), [3, 1].map(RequestId));
}

#[test]
fn queue_is_full_with_five_hundred_requests() {
    let mut queue = queue_of(0..500);

    assert!(queue.push(RequestId(500)).is_err());
    assert_eq!(queue.take_by_rank(|_| ()).len(), 500);
}
