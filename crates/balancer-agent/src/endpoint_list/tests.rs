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

#[test]
fn nesting_that_is_too_deep_is_rejected_wherever_it_is() {
    let nested = "[".repeat(200) + &"]".repeat(200);
    let texts = [
        format!(r#"{{"seq": 1, "novel": {nested}, "hosts": []}}"#),
        format!(r#"{{"seq": 1, "hosts": [{{"host": "a", "health": "removed", "novel": {nested}}}]}}"#),
    ];
    for text in texts {
        assert!(serde_json::from_str::<EndpointList>(&text).is_err(), "{text}");
        let shallow = text.replace(&nested, "[[{}, null, -1, 2.5, true]]");
        assert!(serde_json::from_str::<EndpointList>(&shallow).is_ok(), "{shallow}");
    }
}

#[test]
fn fields_of_another_type_are_treated_as_missing() {
    let value = json!({"seq": 1, "whole": "yes", "hosts": [
        {"host": "a", "dial": "127.0.0.1:1", "health": "up", "site": 4, "class": null, "block": -1, "share": "2",
         "born_ms": [1]},
        {"host": "b", "dial": "127.0.0.1:1", "health": "up", "share": 2, "born_ms": -1}]});

    let list = EndpointList::parse(&value).expect("a list");

    assert!(!list.is_complete);
    let first = &list.entries[0];
    assert_eq!((first.zone.as_str(), first.machine_kind.as_str(), first.cell), ("", "", 0));
    assert_eq!((first.weight, first.started_at_ms), (1.0, 0.0));
    assert_eq!((list.entries[1].weight, list.entries[1].started_at_ms), (2.0, -1.0));
}
