//! Tests of how requests are found, and of which requests are removed.

use super::{RequestIdMap, PRUNING_THRESHOLD};
use balancer_core::RequestId;

/// The size of a map that is large enough to be pruned.
const PRUNED_MAP_SIZE: usize = 2 * PRUNING_THRESHOLD;

fn map_of_finished_requests(count: usize) -> RequestIdMap {
    let mut map = RequestIdMap::default();
    for number in 0..count {
        let id = map.insert(&format!("finished-{number}")).expect("a new request");
        map.close(id);
    }
    map
}

#[test]
fn requests_are_numbered_in_order_of_arrival_and_found_by_both_ids() {
    let mut map = RequestIdMap::default();

    let first = map.insert("a");
    let second = map.insert("b");

    assert_eq!((first, second), (Some(RequestId(0)), Some(RequestId(1))));
    assert_eq!(map.find("b"), second);
    assert_eq!(map.wire_id(RequestId(0)).map(|wire_id| &**wire_id), Some("a"));
    assert_eq!(map.insert("a"), None, "a second request with the same wire id is not added");
}

#[test]
fn pruning_keeps_open_requests_and_attempts_in_flight() {
    let mut map = map_of_finished_requests(PRUNED_MAP_SIZE);
    map.insert("open");
    let in_flight = map.insert("in flight").expect("a new request");
    map.start_attempt(in_flight);
    map.close(in_flight);

    map.prune();

    assert_eq!(map.find("finished-0"), None);
    assert_eq!(map.wire_id(RequestId(0)), None);
    assert!(map.find("open").is_some());
    assert_eq!(map.find("in flight"), Some(in_flight));
}

#[test]
fn request_is_removed_after_its_last_attempt() {
    let mut map = map_of_finished_requests(PRUNED_MAP_SIZE);
    let id = map.insert("last").expect("a new request");
    map.start_attempt(id);
    map.disconnect("last");
    map.end_attempt("last", false);

    map.prune();

    assert_eq!(map.find("last"), None);
}

#[test]
fn small_map_is_not_pruned() {
    let mut map = map_of_finished_requests(PRUNING_THRESHOLD - 1);

    map.prune();

    assert_eq!(map.find("finished-0"), Some(RequestId(0)));
}
