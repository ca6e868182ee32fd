//! Tests of which endpoint lists and entries are valid.

use super::*;
use serde_json::json;

#[test]
fn invalid_entries_are_skipped_and_unknown_fields_are_ignored() {
    let value = json!({"seq": 7, "whole": true, "novel": 1, "hosts": [
        {"host": "a", "dial": "127.0.0.1:1", "site": "x", "health": "up", "born_ms": 5.0, "novel": {}},
        {"host": "b", "dial": "nowhere", "health": "up"},
        {"host": "c", "dial": "127.0.0.1:1", "health": "asleep"},
        {"host": 4, "dial": "127.0.0.1:1", "health": "up"},
        {"host": "d", "health": "removed", "block": -3},
        "e"]});

    let list = EndpointList::parse(&value).expect("a list");

    let names: Vec<&str> = list.entries.iter().map(|entry| entry.name.as_str()).collect();
    assert_eq!(names, ["a", "d"]);
    assert_eq!((list.version, list.is_complete), (7, true));
    assert_eq!(list.entries[0].started_at_ms, 5.0);
}

#[test]
fn a_value_that_is_not_a_list_is_rejected() {
    for value in [json!(null), json!([]), json!({"seq": 1}), json!({"seq": "1", "hosts": []})] {
        assert_eq!(EndpointList::parse(&value), None, "{value}");
    }
}
