//! Tests of what the budget grants, and in which order.

use super::*;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};

const CAPACITY: usize = 800 << 10;
const LARGE: usize = 64 << 10;

fn budget() -> MemoryBudget {
    MemoryBudget::with_capacity(CAPACITY)
}

/// Reserves large blocks until none is granted.
fn fill(budget: &MemoryBudget, purpose: Purpose) -> Vec<Reservation> {
    std::iter::from_fn(|| budget.try_reserve(purpose, LARGE)).collect()
}

/// Polls a future once, without a runtime.
fn poll_now<F: Future + ?Sized>(future: Pin<&mut F>) -> Poll<F::Output> {
    future.poll(&mut Context::from_waker(Waker::noop()))
}

#[test]
fn large_requests_leave_memory_for_responses() {
    let budget = budget();
    let requests = fill(&budget, Purpose::Request);
    // Three eighths are free, and one is guaranteed to large messages.
    assert_eq!(requests.len(), CAPACITY / 8 * 3 / 2 / LARGE);

    let responses = fill(&budget, Purpose::Response);
    assert_eq!(requests.len() + responses.len(), CAPACITY / 8 * 3 / LARGE);
}

#[test]
fn heads_leave_memory_for_small_requests_and_responses() {
    const HEAD: usize = 12 << 10;
    let budget = budget();
    let heads: Vec<_> = std::iter::from_fn(|| budget.try_reserve(Purpose::ReceiveBuffer, HEAD)).collect();
    assert_eq!(heads.len(), CAPACITY / 8 * 3 / 2 / HEAD);

    let responses: Vec<_> = std::iter::from_fn(|| budget.try_reserve(Purpose::Response, HEAD)).collect();
    assert_eq!(heads.len() + responses.len(), CAPACITY / 8 * 3 / HEAD);
}

/// Whatever fills the budget first, every other user still gets what is guaranteed to it.
#[test]
fn no_user_can_take_what_is_guaranteed_to_another() {
    let users = [
        (Purpose::ClientConnection, LARGE, 3),
        (Purpose::ServerConnection, LARGE, 1),
        (Purpose::Request, MAX_SMALL_BYTES, 1),
        (Purpose::Response, LARGE, 1),
    ];
    for (greedy, greedy_bytes, _) in users {
        let budget = budget();
        let mut held: Vec<_> = std::iter::from_fn(|| budget.try_reserve(greedy, greedy_bytes)).collect();
        for (other, bytes, eighths) in users.into_iter().filter(|(other, ..)| *other != greedy) {
            let granted: Vec<_> = std::iter::from_fn(|| budget.try_reserve(other, bytes)).collect();
            let guaranteed = CAPACITY / 8 * eighths / bytes;
            assert!(
                granted.len() >= guaranteed,
                "{other:?} after {greedy:?}: {} of {guaranteed}",
                granted.len()
            );
            held.extend(granted);
        }
        assert!(budget.reserved() <= CAPACITY);
    }
}

#[test]
fn dropped_and_shrunk_reservations_are_free_again() {
    let budget = budget();
    let mut reservation = budget.try_reserve(Purpose::Response, LARGE).expect("the budget is empty");
    reservation.shrink_to(1_000);
    assert_eq!((reservation.bytes(), budget.reserved()), (1_000, 1_000));

    let bytes = reservation.into_bytes(vec![7; 1_000]);
    let part = bytes.slice(10..20);
    drop(bytes);
    assert_eq!(budget.reserved(), 1_000, "a part of the bytes is in use");

    drop(part);
    assert_eq!(budget.reserved(), 0);
}

#[test]
fn empty_bytes_keep_their_reservation() {
    let budget = budget();
    let reservation = budget.try_reserve(Purpose::Request, 1_000).expect("the budget is empty");
    let bytes = reservation.into_bytes(Vec::new());
    assert_eq!(budget.reserved(), 1_000);

    drop(bytes);
    assert_eq!(budget.reserved(), 0);
}

/// A full budget, and two waits for memory that have been polled once.
struct TwoWaits<'a> {
    held: Vec<Reservation>,
    first: Pin<Box<dyn Future<Output = Reservation> + 'a>>,
    second: Pin<Box<dyn Future<Output = Reservation> + 'a>>,
}

impl<'a> TwoWaits<'a> {
    fn begin(budget: &'a MemoryBudget) -> Self {
        let held = fill(budget, Purpose::Response);
        let wait = || -> Pin<Box<dyn Future<Output = Reservation> + 'a>> {
            let mut wait = Box::pin(budget.reserve_response(LARGE));
            assert!(poll_now(wait.as_mut()).is_pending());
            wait
        };
        let first = wait();
        TwoWaits { held, first, second: wait() }
    }
}

#[test]
fn waiting_reservations_are_granted_in_order_as_soon_as_memory_is_released() {
    let budget = budget();
    let TwoWaits { mut held, mut first, mut second } = TwoWaits::begin(&budget);

    held.pop();

    assert!(poll_now(second.as_mut()).is_pending(), "the first one comes before it");
    let first = poll_now(first.as_mut());
    assert!(first.is_ready());
    assert!(poll_now(second.as_mut()).is_pending());
    drop(first);
    assert!(poll_now(second.as_mut()).is_ready());
}

#[test]
fn a_wait_that_is_given_up_does_not_block_the_next_one() {
    let budget = budget();
    let TwoWaits { mut held, first, mut second } = TwoWaits::begin(&budget);

    drop(first);
    held.pop();

    assert!(poll_now(second.as_mut()).is_ready());
}

#[test]
fn the_budget_of_a_process_leaves_memory_for_the_process() {
    for memory_limit in [32_000_000, 192_000_000, 2_000_000_000] {
        let capacity = MemoryBudget::for_process(memory_limit).capacity();
        assert!(capacity <= memory_limit - PROCESS_BYTES);
    }
    assert_eq!(MemoryBudget::for_process(0).capacity(), MIN_CAPACITY_BYTES);
}
