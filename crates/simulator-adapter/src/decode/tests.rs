//! Tests of the decoding of single events from JSON.

use super::decode;
use crate::endpoint_lists::EndpointLists;
use crate::wire_identifiers::WireIdentifiers;
use balancer_core::{
    ClassId, Event, LoadReport, Outcome, PeerId, Request, RequestId, RoutingKey, Span, TenantId, TimerId,
};
use balancer_settings::hash_name;
use std::rc::Rc;

fn decode_json(json: &str, identifiers: &mut WireIdentifiers) -> Option<Event> {
    let event = serde_json::from_str(json).expect("an event");
    decode(event, identifiers, &EndpointLists::default()).expect("a valid event")
}

fn decode_request(fields: &str) -> Request {
    let json = format!(r#"{{"REQUEST":{{"ticket":"r","cls":1,"expiresInMs":640.125{fields}}}}}"#);
    match decode_json(&json, &mut WireIdentifiers::default()) {
        Some(Event::Request(request)) => request,
        other => panic!("{other:?} is not a request"),
    }
}

#[test]
fn every_field_of_a_request_is_decoded() {
    let request = decode_request(r#","party":2,"affinity":"k:1","estimateMs":12.5,"opts":7"#);

    let expected = Request {
        id: RequestId(0),
        class: ClassId(1),
        tenant: Some(TenantId(2)),
        routing_key: Some(RoutingKey(hash_name("k:1"))),
        cost_hint: Some(Span::from_millis_f64(12.5)),
        is_client_retry: true,
        time_left: Span::from_millis_f64(640.125),
    };
    assert_eq!(request, expected);
}

#[test]
fn cost_hint_is_used_only_if_it_is_flagged_and_positive() {
    assert_eq!(decode_request(r#","estimateMs":12.5,"opts":1"#).cost_hint, Some(Span::from_millis_f64(12.5)));
    assert_eq!(decode_request(r#","estimateMs":12.5,"opts":6"#).cost_hint, None);
    assert_eq!(decode_request(r#","estimateMs":12.5"#).cost_hint, None);
    assert_eq!(decode_request(r#","estimateMs":0.0,"opts":1"#).cost_hint, None);
    assert_eq!(decode_request(r#","estimateMs":null,"opts":1"#).cost_hint, None);
}

#[test]
fn client_retry_is_the_second_flag() {
    assert!(decode_request(r#","opts":2"#).is_client_retry);
    assert!(!decode_request(r#","opts":5"#).is_client_retry);
    assert!(!decode_request(r#","opts":null"#).is_client_retry);
}

#[test]
fn hex_digits_of_both_cases_are_read() {
    let mut identifiers = WireIdentifiers::default();

    let event = decode_json(r#"{"MAIL":{"srcPeer":4,"raw":"00aAfF7e"}}"#, &mut identifiers);
    let empty = decode_json(r#"{"MAIL":{"srcPeer":4,"raw":""}}"#, &mut identifiers);

    assert_eq!(event, Some(Event::Gossip { from: PeerId(4), payload: vec![0x00, 0xaa, 0xff, 0x7e] }));
    assert_eq!(empty, Some(Event::Gossip { from: PeerId(4), payload: Vec::new() }));
}

#[test]
fn outcomes_are_read_by_their_codes() {
    let mut identifiers = WireIdentifiers::default();
    let server = identifiers.servers.intern(&Rc::from("backend_a"));
    for (code, outcome) in [
        ("done", Outcome::Success),
        ("err", Outcome::ServerError),
        ("busy", Outcome::Rejected),
        ("etimedout", Outcome::TimedOut),
        ("econnrefused", Outcome::ConnectFailed),
        ("econnreset", Outcome::ConnectionReset),
        ("ecanceled", Outcome::Cancelled),
        ("skipped", Outcome::NotSent),
    ] {
        let fields = format!(r#""backend":"backend_a","ending":"{code}","timeTakenMs":1.4,"gauge":[7,0.5]"#);

        let event = decode_json(&format!(r#"{{"PROBED":{{{fields}}}}}"#), &mut identifiers);

        let elapsed = Span::from_millis_f64(1.4);
        let load_report = Some(LoadReport::new(vec![7.0, 0.5]));
        assert_eq!(event, Some(Event::HealthChecked { server, outcome, elapsed, load_report }), "{code}");
    }
}

#[test]
fn timers_are_decoded_by_their_numbers_and_unknown_numbers_are_ignored() {
    for (number, event) in [
        ("0", Some(Event::TimerDue(TimerId::Tick))),
        ("1", Some(Event::TimerDue(TimerId::LoadPollTimeout))),
        ("2", None),
        ("9223372036854775808", None),
    ] {
        let json = format!(r#"{{"ELAPSED":{{"keyBack":{number}}}}}"#);

        assert_eq!(decode_json(&json, &mut WireIdentifiers::default()), event, "timer {number}");
    }
}
