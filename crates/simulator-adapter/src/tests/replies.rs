//! Tests of the replies to valid input.

use super::messages::{actions, attach, batch, catalog, registry, request, run_session};
use serde_json::json;

#[test]
fn empty_batch_gets_an_empty_reply_and_end_of_input_is_no_error() {
    let input = batch(1, "8412.25", &[]);

    let session = run_session(&input);

    assert_eq!(session.result, Ok(()));
    assert_eq!(session.replies, [json!({"round": 1, "parts": []})]);
}

#[test]
fn request_is_sent_and_retried_with_times_to_the_microsecond() {
    let arrival = [attach(), catalog(3, &["backend_a"]), registry("Persisted", 3), request("r-1")];
    let failed_connect = json!({"DONE": {
        "ticket": "r-1", "backend": "backend_a", "finished": false, "timeTakenMs": 3.001,
        "ending": "econnrefused", "attempt": 0, "gauge": [1, 2],
    }});
    let first = batch(1, "358835696.557", &[(4, &arrival)]);
    let second = batch(2, "358835699.558", &[(4, &[failed_connect.to_string()])]);

    let session = run_session(&(first + &second));

    assert_eq!(session.result, Ok(()));
    let expected = json!({"ticket": "r-1", "backend": "backend_a", "untilMs": 358_836_336.682});
    assert_eq!(actions(&session.replies[0], "ROUTE"), [&expected]);
    assert_eq!(
        actions(&session.replies[1], "ROUTE"),
        [&expected],
        "the retry goes to the only server and has the same deadline"
    );
}

#[test]
fn list_number_is_reused_within_a_batch() {
    let events = [
        attach(),
        catalog(0, &["backend_a"]),
        registry("Persisted", 0),
        catalog(0, &["backend_b"]),
        registry("Complete", 0),
        request("r-1"),
    ];

    let session = run_session(&batch(1, "10", &[(0, &events)]));

    assert_eq!(session.result, Ok(()));
    assert_eq!(actions(&session.replies[0], "ROUTE")[0]["backend"], "backend_b");
}

#[test]
fn restart_within_a_batch_drops_the_old_actions_and_endpoints() {
    let start = batch(1, "10", &[(0, &[attach(), catalog(0, &["backend_a"]), registry("Complete", 0)])]);
    let restart = [request("old"), r#"{"RETIRE":{}}"#.into(), attach(), request("new")];

    let session = run_session(&(start + &batch(2, "20", &[(0, &restart)])));

    assert_eq!(session.result, Ok(()));
    assert!(
        actions(&session.replies[1], "ROUTE").is_empty(),
        "the new instance has neither the request nor the endpoints of the old instance"
    );
}

#[test]
fn gossip_health_checks_and_events_of_unknown_requests_are_accepted() {
    let events = [
        attach(),
        catalog(0, &["backend_a"]),
        registry("Complete", 0),
        registry("Error", 9),
        r#"{"MAIL":{"srcPeer":1,"raw":"68692037"}}"#.into(),
        r#"{"PROBED":{"backend":"backend_a","ending":"done","timeTakenMs":1.4,"gauge":[7,0.5]}}"#.into(),
        r#"{"ABORTED":{"ticket":"never"}}"#.into(),
        r#"{"FIRST_BYTE":{"ticket":"never","attempt":0,"backend":"backend_a","timeTakenMs":1}}"#.into(),
        r#"{"ELAPSED":{"keyBack":77}}"#.into(),
    ];

    let session = run_session(&batch(1, "10", &[(0, &events)]));

    assert_eq!(session.result, Ok(()));
}

#[test]
fn batch_of_megabytes_is_handled() {
    let mut events = vec![attach(), catalog(0, &["backend_a", "backend_b"]), registry("Complete", 0)];
    events.extend((0..20_000).map(|number| request(&format!("{number:036}"))));
    let line = batch(1, "10", &[(0, &events)]);
    assert!(line.len() > 2_000_000);

    let session = run_session(&line);

    assert_eq!(session.result, Ok(()));
    assert!(!actions(&session.replies[0], "ROUTE").is_empty());
}
