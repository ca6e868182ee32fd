//! Tests that invalid input ends the session without a reply, and that the error states where the input is
//! invalid and why.

use super::messages::{attach, batch, registry, request, run_session};

fn batch_after_attach(event: &str) -> String {
    batch(6, "10", &[(0, &[attach(), event.to_string()])])
}

fn assert_error(input: &str, expected_text: &str) {
    let session = run_session(input);

    let error = session.result.expect_err(expected_text);
    assert!(error.contains(expected_text), "{error}");
    assert!(session.replies.is_empty());
}

#[test]
fn error_names_the_round_and_what_is_wrong() {
    for (line, text) in [
        ("{\"tMs\":1\n".to_string(), "the first round: not a batch"),
        (batch_after_attach(r#"{"SURPRISE":{}}"#), "SURPRISE"),
        (batch_after_attach(r#"{"ELAPSED":{"keyBack":"x"}}"#), "invalid type"),
        (batch_after_attach(r#"{"ABORTED":{}}"#), "missing field `ticket`"),
        (
            batch_after_attach(&request("r").replace(r#""cls":0"#, r#""cls":-1"#)),
            "invalid value: integer `-1`",
        ),
        (batch_after_attach(&registry("Partial", 5)), "round 6: instance 0: REGISTRY names catalogue 5"),
        (batch(6, "10", &[(3, &[request("r")])]), "round 6: instance 3: an event came before ATTACH"),
        (batch_after_attach(r#"{"MAIL":{"srcPeer":1,"raw":"6"}}"#), "round 6: instance 0: MAIL"),
        (
            batch(6, "10", &[(0, &[r#"{"ATTACH":{"salt":1,"params":{}}}"#.to_string()])]),
            "round 6: instance 0: settings name no request class",
        ),
    ] {
        assert_error(&line, text);
    }
}

#[test]
fn error_in_an_event_names_what_was_expected() {
    for (line, text) in [
        (batch(6, "-0.5", &[]), "round 6: tMs is -0.5; a time of zero or more was expected"),
        (batch_after_attach(r#"{"REGISTRY":{"form":"Complete","rev":1}}"#), "REGISTRY names no catalogue"),
        (batch_after_attach(r#"{"REGISTRY":{"form":"Error"}}"#), "missing field `rev`"),
        (
            batch_after_attach(r#"{"MAIL":{"srcPeer":1,"raw":"6g"}}"#),
            r#"MAIL holds "6g"; an even number of hex digits was expected"#,
        ),
        (
            batch_after_attach(r#"{"PROBED":{"backend":"backend_z","ending":"done","timeTakenMs":1}}"#),
            "PROBED names backend backend_z, which no list has named",
        ),
        (
            batch(6, "10", &[(0, &[attach(), request("r-1"), request("r-1")])]),
            "round 6: instance 0: REQUEST r-1 came twice",
        ),
    ] {
        assert_error(&line, text);
    }
}

#[test]
fn malformed_line_is_located_by_the_round_before_it() {
    let session = run_session(&(batch(7, "10", &[]) + "no JSON\n"));

    let error = session.result.expect_err("the second line is not a batch");
    assert!(error.starts_with("the round after 7: not a batch: "), "{error}");
    assert_eq!(session.replies.len(), 1);
}

#[test]
fn event_before_attach_is_named_as_on_the_wire() {
    for (name, fields) in [
        ("REGISTRY", r#"{"form":"Error","rev":1}"#),
        ("REQUEST", r#"{"ticket":"r","cls":0,"expiresInMs":1}"#),
        ("FIRST_BYTE", r#"{"ticket":"r","attempt":0}"#),
        ("DONE", r#"{"ticket":"r","finished":true,"timeTakenMs":1,"ending":"done","attempt":0}"#),
        ("ABORTED", r#"{"ticket":"r"}"#),
        ("ELAPSED", r#"{"keyBack":1}"#),
        ("PROBED", r#"{"backend":"backend_a","ending":"done","timeTakenMs":1}"#),
        ("MAIL", r#"{"srcPeer":1,"raw":""}"#),
    ] {
        let event = format!(r#"{{"{name}":{fields}}}"#);
        let expected = format!("round 6: instance 3: an event came before ATTACH: {name}");
        assert_error(&batch(6, "10", &[(3, &[event])]), &expected);
    }
}
