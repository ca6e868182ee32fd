//! Tests of the encoding of single actions in JSON.

use super::encode;
use crate::wire_identifiers::WireIdentifiers;
use balancer_core::{
    Action, AttemptNumber, EjectionReason, LatencyRatio, Notice, PeerId, RequestId, ServerId, Span, Time,
    TimerId,
};
use std::rc::Rc;

const REQUEST: RequestId = RequestId(0);

/// Returns the identifiers of an instance that knows the request `r-1` and the server `backend_a`.
fn known_identifiers() -> WireIdentifiers {
    let mut identifiers = WireIdentifiers::default();
    assert_eq!(identifiers.requests.insert("r-1"), Some(REQUEST));
    identifiers.servers.intern(&Rc::from("backend_a"));
    identifiers
}

fn known_server(identifiers: &WireIdentifiers) -> ServerId {
    identifiers.servers.find("backend_a").expect("a known server")
}

fn to_json(action: Action, identifiers: &mut WireIdentifiers) -> String {
    serde_json::to_string(&encode(action, identifiers)).expect("JSON")
}

#[test]
fn actions_about_requests_are_encoded_in_the_wire_format() {
    let mut identifiers = known_identifiers();
    let server = known_server(&identifiers);
    let timeout_at = Time::from_millis_f64(8492.25);
    for (action, json) in [
        (
            Action::Send { request: REQUEST, server, timeout_at, write_by: None },
            r#"{"ROUTE":{"ticket":"r-1","backend":"backend_a","untilMs":8492.25}}"#,
        ),
        (
            Action::Cancel { request: REQUEST, attempt: AttemptNumber(2) },
            r#"{"ABANDON":{"ticket":"r-1","attempt":2}}"#,
        ),
        (
            Action::Reject { request: REQUEST, retry_after: Some(Span::from_millis_f64(1.5)) },
            r#"{"OVERLOAD_REPLY":{"ticket":"r-1","notBeforeForMs":1.5}}"#,
        ),
        (
            Action::Reject { request: REQUEST, retry_after: None },
            r#"{"OVERLOAD_REPLY":{"ticket":"r-1","notBeforeForMs":null}}"#,
        ),
        (Action::Fail { request: REQUEST }, r#"{"ABORT":{"ticket":"r-1"}}"#),
    ] {
        assert_eq!(to_json(action, &mut identifiers), json);
    }
}

#[test]
fn other_actions_are_encoded_in_the_wire_format() {
    let mut identifiers = known_identifiers();
    let server = known_server(&identifiers);
    let payload = vec![0x0a, 0xff];
    let ejection = Notice::ServerEjected {
        server,
        reason: EjectionReason::Failing,
        latency_ratio: LatencyRatio::new(0.456),
        fleet_median: LatencyRatio::new(0.2),
    };
    let ejection_text =
        format!("server {} ejected (failing): latency ratio 0.46 of a fleet median of 0.20", server.0);
    let ejection_json = format!(r#"{{"NOTE_DOWN":{{"what":"{ejection_text}"}}}}"#);
    for (action, json) in [
        (
            Action::SetTimer { at: Time::from_millis_f64(8912.25), timer: TimerId::LoadPollTimeout },
            r#"{"TIMER":{"atMs":8912.25,"keyBack":1}}"#,
        ),
        (Action::CheckHealth { server }, r#"{"HEALTH_CHECK":{"backend":"backend_a"}}"#),
        (Action::CloseIdle { server }, r#"{"CLOSE_IDLE":{"backend":"backend_a"}}"#),
        (Action::Gossip { to: None, payload: payload.clone() }, r#"{"ANNOUNCE":{"to":-1,"raw":"0aff"}}"#),
        (Action::Gossip { to: Some(PeerId(3)), payload }, r#"{"ANNOUNCE":{"to":3,"raw":"0aff"}}"#),
        (Action::WatchEndpoints, r#"{"FOLLOW":{"active":true}}"#),
        (Action::Notify(ejection), ejection_json.as_str()),
    ] {
        assert_eq!(to_json(action, &mut identifiers), json);
    }
}

#[test]
fn action_about_an_unknown_request_or_server_is_reported_as_a_bug() {
    let mut identifiers = known_identifiers();
    let server = known_server(&identifiers);
    let unknown_request = Action::Fail { request: RequestId(9) };
    let unknown_server = Action::CloseIdle { server: ServerId(server.0.wrapping_add(1)) };

    let request_bug = to_json(unknown_request, &mut identifiers);
    let server_bug = to_json(unknown_server, &mut identifiers);

    assert_eq!(request_bug, r#"{"BUG":{"what":"an action for a request that is not open"}}"#);
    assert!(server_bug.starts_with(r#"{"BUG":{"what":"an action for server number "#), "{server_bug}");
}
