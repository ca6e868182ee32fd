//! Which requests are remembered, and which are forgotten.

use super::{RequestTable, SWEEP_THRESHOLD};
use balancer_core::RequestId;

const MANY: usize = 2 * SWEEP_THRESHOLD;

fn table_of_ended_requests(count: usize) -> RequestTable {
    let mut table = RequestTable::default();
    for number in 0..count {
        let id = table.insert(&format!("ended-{number}")).expect("a new request");
        table.end(id);
    }
    table
}

#[test]
fn requests_are_numbered_in_their_order_and_found_both_ways() {
    let mut table = RequestTable::default();

    let first = table.insert("a");
    let second = table.insert("b");

    assert_eq!((first, second), (Some(RequestId(0)), Some(RequestId(1))));
    assert_eq!(table.find("b"), second);
    assert_eq!(table.wire_id(RequestId(0)).map(|wire_id| &**wire_id), Some("a"));
    assert_eq!(table.insert("a"), None, "the wire id is taken");
}

#[test]
fn sweep_keeps_open_requests_and_attempts_in_flight() {
    let mut table = table_of_ended_requests(MANY);
    table.insert("open");
    let in_flight = table.insert("in flight").expect("a new request");
    table.start_attempt(in_flight);
    table.end(in_flight);

    table.sweep();

    assert_eq!(table.find("ended-0"), None);
    assert_eq!(table.wire_id(RequestId(0)), None);
    assert!(table.find("open").is_some());
    assert_eq!(table.find("in flight"), Some(in_flight));
}

#[test]
fn request_is_forgotten_after_its_last_attempt() {
    let mut table = table_of_ended_requests(MANY);
    let id = table.insert("last").expect("a new request");
    table.start_attempt(id);
    table.disconnect("last");
    table.end_attempt("last", false);

    table.sweep();

    assert_eq!(table.find("last"), None);
}

#[test]
fn few_ended_requests_are_not_swept() {
    let mut table = table_of_ended_requests(SWEEP_THRESHOLD - 1);

    table.sweep();

    assert_eq!(table.find("ended-0"), Some(RequestId(0)));
}
