//! Tests of long lists and of responses that are no lists.

use super::test_discovery::{Reply, Responses, TestDiscovery};
use super::test_handler::{moved_discovery, TestHandler};
use super::MAX_REOPEN_DELAY;
use crate::discovery::list_text::MAX_LIST_BYTES;
use crate::discovery::WatchEvent;
use serde::Serialize;
use serde_json::ser::{PrettyFormatter, Serializer};
use serde_json::{json, Value};
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::sleep;

/// The number of servers of the largest fleet (STANDING page).
const LARGEST_FLEET: usize = 3_200;

/// Returns the complete list of the largest fleet. Each entry has a field of `extra_bytes` that no agent
/// knows.
fn list_of_the_largest_fleet(version: u64, extra_bytes: usize) -> Value {
    let entry = |number: usize| {
        json!({"host": format!("s-{number:08x}"), "dial": "127.0.0.1:18443", "site": "dc-machakos", "class": "std-1",
               "block": 3, "health": "up", "share": 1.0, "born_ms": 1_700_000_000_000_u64, "extra": "x".repeat(extra_bytes)})
    };
    let entries: Vec<Value> = (0..LARGEST_FLEET).map(entry).collect();
    json!({"seq": version, "whole": true, "hosts": entries})
}

/// Returns the text of a value, each level indented by `indent`.
fn indented(value: &Value, indent: &str) -> String {
    let mut text = Vec::new();
    let formatter = PrettyFormatter::with_indent(indent.as_bytes());
    value.serialize(&mut Serializer::with_formatter(&mut text, formatter)).expect("a text");
    String::from_utf8(text).expect("a text")
}

/// Guards against drains that are never heard because the list of the largest fleet is too long when it is
/// indented.
#[tokio::test]
async fn the_list_of_the_largest_fleet_is_received_in_any_indentation() {
    let list = list_of_the_largest_fleet(7, 0);
    let mut texts: Vec<String> =
        ["", "\t", "  ", "        ", &" ".repeat(32)].iter().map(|indent| indented(&list, indent)).collect();
    texts.push(list.to_string());
    texts.push(list_of_the_largest_fleet(7, 300).to_string());
    for text in texts {
        let length = text.len();
        let test = async {
            let (_discovery, address) =
                TestDiscovery::start(Responses::InTurn(vec![Reply::Text(text)])).await;
            let handler = TestHandler::start_watch(moved_discovery(address));

            handler.wait_for_event().await;

            let events = handler.events.borrow();
            let [(_, WatchEvent::Endpoints(list))] = events.as_slice() else {
                panic!("no list from {length} bytes: {events:?}");
            };
            assert_eq!((list.version, list.entries.len()), (7, LARGEST_FLEET));
        };
        LocalSet::new().run_until(test).await;
    }
}

/// Guards against a response without an end that fills the memory, and a list that is not heard after it.
#[tokio::test(start_paused = true)]
async fn a_response_that_is_no_list_or_too_long_fails_its_call_and_the_next_list_is_received() {
    let unusable = [
        "x".repeat(MAX_LIST_BYTES + 1),
        "{}".to_owned(),
        json!({"seq": 9, "hosts": []}).to_string(),
        "]".to_owned(),
    ];
    let test = async {
        let failure_count = unusable.len();
        let mut replies: Vec<Reply> = unusable.into_iter().map(Reply::Text).collect();
        replies.push(Reply::List(7, Duration::ZERO));
        let (_discovery, address) = TestDiscovery::start(Responses::InTurn(replies)).await;
        let handler = TestHandler::start_watch(moved_discovery(address));

        sleep(MAX_REOPEN_DELAY * 5).await;

        assert_eq!(handler.failures().len(), failure_count);
        assert!(handler.received_after(7).is_some());
        assert_eq!(handler.received_lists().len(), 1);
    };
    LocalSet::new().run_until(test).await;
}
