//! Tests that every request gets one final response in time, and is not sent to a server after that response.

mod common;

use balancer_core::*;
use common::*;

const IDEMPOTENT: ClassId = ClassId(0);
const AT_MOST_ONCE: ClassId = ClassId(1);

/// Returns settings with the classes [`IDEMPOTENT`] and [`AT_MOST_ONCE`].
fn settings() -> Settings {
    Settings { classes: vec![class(Effect::Idempotent), class(Effect::AtMostOnce)], ..Settings::default() }
}

#[test]
fn empty_fleet_queues_then_rejects() {
    let mut harness = Harness::new(settings(), 1);

    let request = harness.submit_request_of(IDEMPOTENT);
    assert_eq!(request.server, None);
    assert!(!is_rejected(&harness.actions, request.id), "the request is queued first");
    let actions = harness.advance_ms(800.0);

    assert!(is_rejected(&actions, request.id));
    harness.assert_no_violations();
}

#[test]
fn queued_request_is_sent_when_endpoints_arrive() {
    let mut harness = Harness::new(settings(), 1);
    let request = harness.submit_request_of(AT_MOST_ONCE);

    harness.set_endpoints(fleet(3));

    assert!(harness.target_of(request.id).is_some());
    harness.succeed(request.id, 20.0);
    harness.assert_no_violations();
}

/// A client's last retry can arrive when no time is left until its deadline.
#[test]
fn request_without_time_left_is_rejected_immediately() {
    for server_count in [0, 3] {
        let mut harness = Harness::with_endpoints(settings(), 1, fleet(server_count));
        let id = RequestId(77);

        harness.handle(Event::Request(Request::new(id, IDEMPOTENT, Span::ZERO)));

        assert!(is_rejected(&harness.actions, id));
        harness.assert_no_violations();
    }
}

#[test]
fn timed_out_at_most_once_request_fails_at_its_deadline() {
    let mut harness = Harness::with_endpoints(settings(), 1, fleet(3));
    let request = harness.submit_request_of(AT_MOST_ONCE);

    harness.advance_ms(800.0);
    harness.end_attempt(request.id, FIRST_ATTEMPT, Outcome::TimedOut, 800.0);

    assert!(is_failed(&harness.actions, request.id));
    harness.assert_no_violations();
}

const UNKNOWN_REQUEST: RequestId = RequestId(999);
const UNKNOWN_ATTEMPT: AttemptNumber = AttemptNumber(9);
const UNKNOWN_SERVER: ServerId = ServerId(99);

#[test]
fn late_duplicate_and_unknown_events_are_ignored() {
    let mut harness = Harness::with_endpoints(settings(), 1, fleet(3));
    let id = harness.submit_request_of(IDEMPOTENT).id;
    harness.succeed(id, 20.0);

    for _ in 0..2 {
        assert!(harness.end_attempt(id, FIRST_ATTEMPT, Outcome::TimedOut, 20.0).is_empty());
        assert!(harness.end_attempt(id, UNKNOWN_ATTEMPT, Outcome::Success, 20.0).is_empty());
        assert!(harness.handle(Event::ClientDisconnected { request: id }).is_empty());
        assert!(harness.end_attempt(UNKNOWN_REQUEST, FIRST_ATTEMPT, Outcome::ServerError, 1.0).is_empty());
        assert!(harness.handle(Event::FirstByte { request: id, attempt: FIRST_ATTEMPT }).is_empty());
        let check_of_unknown_server = Event::HealthChecked {
            server: UNKNOWN_SERVER,
            outcome: Outcome::Success,
            elapsed: Span::ZERO,
            load_report: Some(LoadReport::new(vec![1.0])),
        };
        assert!(harness.handle(check_of_unknown_server).is_empty());
    }

    assert!(harness.submit_request_of(IDEMPOTENT).is_sent());
    harness.assert_no_violations();
}

#[test]
fn nothing_is_sent_after_the_client_disconnects() {
    let mut harness = Harness::with_endpoints(settings(), 1, fleet(3));
    let request = harness.submit_request_of(IDEMPOTENT);

    harness.handle(Event::ClientDisconnected { request: request.id });

    assert!(harness.end_attempt(request.id, FIRST_ATTEMPT, Outcome::ServerError, 5.0).is_empty());
    harness.assert_no_violations();
}

#[test]
fn attempts_stay_within_the_maximum() {
    for max_attempts in 1..4 {
        let settings = Settings { max_attempts, ..settings() };
        let mut harness = Harness::with_endpoints(settings, 5, fleet(9));
        let request = harness.submit_request_of(IDEMPOTENT);

        let mut send_count = 1;
        for attempt in 0..max_attempts {
            harness.end_attempt(request.id, AttemptNumber(attempt), Outcome::Rejected, 1.0);
            send_count += u32::from(harness.target_of(request.id).is_some());
        }

        assert_eq!(send_count, max_attempts);
        assert!(is_rejected(&harness.actions, request.id));
        harness.assert_no_violations();
    }
}

/// The balancer rejects queued requests in its periodic ticks. A newly queued request must not postpone the
/// next tick. Otherwise a steady stream of requests would prevent every tick, and queued requests would pass
/// their deadline without a final response.
#[test]
fn requests_arriving_with_each_tick_do_not_starve_the_tick() {
    let mut harness = Harness::new(settings(), 1);
    let first = harness.submit_request_of(IDEMPOTENT);

    let mut actions = Vec::new();
    for _ in 0..200 {
        harness.advance_without_timers(Span::from_millis(5));
        harness.submit_request_of(IDEMPOTENT);
        actions.extend(harness.advance(Span::ZERO));
    }

    assert!(is_rejected(&actions, first.id));
    assert_eq!(harness.lost_request_count(), 0);
    harness.assert_no_violations();
}
