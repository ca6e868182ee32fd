//! Tests that every accepted request gets one final answer, in time, and that nothing is sent for it
//! afterwards.

mod common;

use balancer_core::*;
use common::*;

const IDEMPOTENT: usize = 0;
const AT_MOST_ONCE: usize = 1;

fn settings() -> Settings {
    Settings { classes: vec![class(Effect::Idempotent), class(Effect::AtMostOnce)], ..Settings::default() }
}

#[test]
fn empty_fleet_queues_then_rejects() {
    let mut harness = Harness::new(settings(), 1);

    let request = harness.send_request(IDEMPOTENT);
    assert_eq!(request.server, None);
    assert!(!is_rejected(&harness.actions, request.id), "it waits for a server first");
    let actions = harness.advance_ms(800.0);

    assert!(is_rejected(&actions, request.id));
    harness.assert_no_violations();
}

#[test]
fn queued_request_is_sent_when_endpoints_arrive() {
    let mut harness = Harness::new(settings(), 1);
    let request = harness.send_request(AT_MOST_ONCE);

    harness.set_endpoints(fleet(3, 1, 1));

    assert!(harness.target_of(request.id).is_some());
    harness.succeed(request.id, 20.0);
    harness.assert_no_violations();
}

/// Seen on a simulated day: a client's last try can come with nothing left of its time.
#[test]
fn request_without_time_left_is_rejected_immediately() {
    for server_count in [0, 3] {
        let mut harness = Harness::with_endpoints(settings(), 1, fleet(server_count, 1, 1));
        let id = RequestId(77);

        harness.handle(Event::Request(Request::new(id, ClassId(IDEMPOTENT), Span::ZERO)));

        assert!(is_rejected(&harness.actions, id));
        harness.assert_no_violations();
    }
}

#[test]
fn timed_out_at_most_once_request_fails_at_its_deadline() {
    let mut harness = Harness::with_endpoints(settings(), 1, fleet(3, 1, 1));
    let request = harness.send_request(AT_MOST_ONCE);

    harness.advance_ms(800.0);
    harness.end_attempt(request.id, 0, Outcome::TimedOut, 800.0);

    assert!(is_failed(&harness.actions, request.id));
    harness.assert_no_violations();
}

#[test]
fn late_duplicate_and_unknown_events_do_nothing() {
    let mut harness = Harness::with_endpoints(settings(), 1, fleet(3, 1, 1));
    let id = harness.send_request(IDEMPOTENT).id;
    harness.succeed(id, 20.0);

    for _ in 0..2 {
        assert!(harness.end_attempt(id, 0, Outcome::TimedOut, 20.0).is_empty());
        assert!(harness.end_attempt(id, 9, Outcome::Success, 20.0).is_empty());
        assert!(harness.handle(Event::ClientDisconnected { request: id }).is_empty());
        assert!(harness.end_attempt(RequestId(999), 0, Outcome::ServerError, 1.0).is_empty());
        assert!(harness.handle(Event::FirstByte { request: id, attempt: AttemptNumber(0) }).is_empty());
        let check_of_unknown_server = Event::HealthChecked {
            server: ServerId(99),
            outcome: Outcome::Success,
            elapsed: Span::ZERO,
            load_report: Some(LoadReport::new(vec![1.0])),
        };
        assert!(harness.handle(check_of_unknown_server).is_empty());
    }

    assert!(harness.send_request(IDEMPOTENT).is_sent());
    harness.assert_no_violations();
}

#[test]
fn nothing_is_sent_after_the_client_disconnects() {
    let mut harness = Harness::with_endpoints(settings(), 1, fleet(3, 1, 1));
    let request = harness.send_request(IDEMPOTENT);

    harness.handle(Event::ClientDisconnected { request: request.id });

    assert!(harness.end_attempt(request.id, 0, Outcome::ServerError, 5.0).is_empty());
    harness.assert_no_violations();
}

#[test]
fn attempts_stay_within_the_maximum() {
    for max_attempts in 1..4 {
        let settings = Settings { max_attempts, ..settings() };
        let mut harness = Harness::with_endpoints(settings, 5, fleet(9, 1, 1));
        let request = harness.send_request(IDEMPOTENT);

        let mut send_count = 1;
        for attempt in 0..max_attempts {
            harness.end_attempt(request.id, attempt, Outcome::Rejected, 1.0);
            send_count += u32::from(harness.target_of(request.id).is_some());
        }

        assert_eq!(send_count, max_attempts);
        assert!(is_rejected(&harness.actions, request.id));
        harness.assert_no_violations();
    }
}

/// Seen on a simulated day: a request queued in the very moment of a tick put the tick off, so that a steady
/// stream of them kept it from ever coming, and queued requests passed their deadline without an answer.
#[test]
fn requests_arriving_with_each_tick_do_not_starve_it() {
    let mut harness = Harness::new(settings(), 1);
    let first = harness.send_request(IDEMPOTENT);

    let mut actions = Vec::new();
    for _ in 0..200 {
        harness.now = harness.now + Span::from_millis(5);
        harness.send_request(IDEMPOTENT);
        actions.extend(harness.advance(Span::ZERO));
    }

    assert!(is_rejected(&actions, first.id));
    assert_eq!(harness.lost_request_count(), 0);
    harness.assert_no_violations();
}
