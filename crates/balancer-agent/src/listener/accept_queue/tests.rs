//! Tests of the earliest time at which a connection can have connected, on a paused clock.

use super::*;
use std::time::Duration;
use tokio::time::advance;

const STEP: Duration = Duration::from_millis(1);

#[tokio::test(start_paused = true)]
async fn a_connection_has_waited_no_longer_than_the_queue_was_not_empty() {
    let mut queue = AcceptQueue::default();
    let first = queue.record_accept();
    assert_eq!(first, Instant::now());

    advance(STEP).await;
    assert_eq!(queue.record_accept(), first);

    queue.record_empty();
    advance(STEP).await;
    assert_eq!(queue.record_accept(), Instant::now());
}

/// Guards against a wait that grows without end while a crowd keeps the queue from ever being empty.
#[tokio::test(start_paused = true)]
async fn a_connection_has_waited_no_longer_than_a_full_queue_before_it() {
    let mut queue = AcceptQueue::default();
    for _ in 0..3 * MAX_QUEUE_LENGTH {
        queue.record_accept();
        advance(STEP).await;
    }
    assert_eq!(queue.record_accept(), Instant::now() - STEP * MAX_QUEUE_LENGTH as u32);
}
