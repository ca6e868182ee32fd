//! Tests of which connections may be evicted, and in which order, on a paused clock.

use super::*;
use std::rc::Rc;
use tokio::time::advance;

/// Returns the state of a connection on which a request has begun to arrive.
fn receiving() -> Rc<ConnectionState> {
    let state = ConnectionState::new(Instant::now());
    state.record_bytes();
    state.record_request_bytes();
    state
}

/// Returns the state of a connection on which a response has been written.
fn idle() -> Rc<ConnectionState> {
    let state = receiving();
    state.record_request_complete();
    state.record_response_ready();
    state.record_flush();
    state
}

fn is_evictable(state: &ConnectionState) -> bool {
    EvictionRank::of(state).is_some()
}

#[tokio::test(start_paused = true)]
async fn a_request_that_stalls_may_be_evicted_and_one_that_arrives_only_later() {
    let stalled = receiving();
    let arriving = receiving();
    let step = MIN_STALL_TIME / 2;

    advance(step).await;
    arriving.record_bytes();
    assert!(!is_evictable(&stalled) && !is_evictable(&arriving));

    advance(step).await;
    arriving.record_bytes();
    assert!(is_evictable(&stalled) && !is_evictable(&arriving));

    while arriving.phase_since().elapsed() < MIN_ARRIVAL_TIME {
        assert!(!is_evictable(&arriving));
        advance(step).await;
        arriving.record_bytes();
    }
    assert!(is_evictable(&arriving));
}

#[tokio::test(start_paused = true)]
async fn a_complete_request_is_never_evicted_before_its_response() {
    let state = receiving();
    state.record_request_complete();
    advance(Duration::from_secs(60)).await;
    assert!(!is_evictable(&state), "processing");

    state.record_response_ready();
    advance(Duration::from_secs(60)).await;
    assert!(!is_evictable(&state), "responding");
}

#[tokio::test(start_paused = true)]
async fn the_connection_whose_eviction_costs_its_client_least_comes_first() {
    let arriving = receiving();
    let slow = receiving();
    advance(MIN_STALL_TIME).await;
    let stalled = receiving();
    advance(MIN_STALL_TIME).await;
    slow.record_bytes();
    let idle = idle();
    advance(MIN_IDLE_TIME).await;
    let silent = ConnectionState::new(Instant::now());
    advance(MIN_SILENT_TIME).await;
    arriving.record_bytes();

    let order = [&silent, &idle, &stalled, &slow, &arriving];
    let ranks: Vec<EvictionRank> =
        order.iter().map(|state| EvictionRank::of(state).expect("an evictable connection")).collect();
    assert!(ranks.is_sorted(), "{ranks:?}");
}
