//! Tests that whitespace takes no memory and that the meaning of a text is kept.

use super::*;
use serde_json::{json, Value};

/// Returns the value of a text that is received in parts of this size.
fn value_of(text: &str, part_size: usize) -> Option<Value> {
    let mut received = ListText::default();
    for part in text.as_bytes().chunks(part_size) {
        received.push(part).expect("a list of a permitted length");
    }
    serde_json::from_slice(received.as_bytes()).ok()
}

#[test]
fn strings_and_values_are_kept_in_any_parts() {
    let value = json!({"a  b": " \t x  \" \\\" y  ", "c": ["\\", "  ", "\\\\\"  "], "d": [1, -2.5e3, null, true], "é": "ü  ö"});
    for text in [value.to_string(), serde_json::to_string_pretty(&value).expect("a text")] {
        for part_size in [1, 2, 3, 7, 1_000] {
            assert_eq!(value_of(&text, part_size), Some(value.clone()), "{text} in parts of {part_size}");
        }
    }
}

#[test]
fn whitespace_that_separates_tokens_still_separates_them() {
    assert_eq!(value_of("[1 \n 2]", 100), None);
    assert_eq!(value_of("{\"seq\": 4 1}", 1), None);
}

#[test]
fn whitespace_takes_no_memory() {
    let mut received = ListText::default();
    for _ in 0..32 {
        received.push(&vec![b' '; 1 << 20]).expect("a response of a permitted length");
        received.push(b"\r\n\t").expect("a response of a permitted length");
    }
    assert_eq!(received.as_bytes(), b" ");
}

#[test]
fn a_text_or_a_response_beyond_its_limit_is_refused() {
    let mut text = ListText::default();
    assert_eq!(text.push(&vec![b'x'; MAX_LIST_BYTES]), Ok(()));
    assert_eq!(text.push(b"   "), Err(ListTooLong));

    let mut response = ListText::default();
    assert_eq!(response.push(&vec![b' '; MAX_RESPONSE_BYTES]), Ok(()));
    assert_eq!(response.push(b" "), Err(ListTooLong));
}
