//! Tests of the rule checker that the other tests rely on: it must object to a violation of each kind.

mod common;

use balancer_core::*;
use common::*;

const REQUEST: RequestId = RequestId(1);

/// A checker that has seen a fleet of four servers and one request.
fn checker_with_request(effect: Effect) -> (RuleChecker, Time) {
    let settings = Settings {
        classes: vec![class(effect)],
        initial_capacity: 0.2,
        warm_up_time: Span::from_millis(10_000),
        ..Settings::default()
    };
    let now = Time::from_millis(1000);
    let mut checker = RuleChecker::new(&settings);
    checker.observe_event(now, &Event::Endpoints(EndpointUpdate::Complete(fleet(4, 2, 4))));
    checker.observe_event(now, &request_event(REQUEST));
    (checker, now)
}

fn request_event(id: RequestId) -> Event {
    Event::Request(Request::new(id, ClassId(0), Span::from_millis(800)))
}

fn changed(endpoint: Endpoint) -> Event {
    Event::Endpoints(EndpointUpdate::Changes(vec![endpoint]))
}

fn send(server: u32, now: Time) -> Action {
    send_request(REQUEST, server, now + Span::from_millis(1))
}

fn send_request(request: RequestId, server: u32, timeout_at: Time) -> Action {
    Action::Send { request, server: ServerId(server), timeout_at, write_by: None }
}

fn attempt_ended(outcome: Outcome, attempt: u32) -> Event {
    Event::AttemptEnded {
        request: REQUEST,
        attempt: AttemptNumber(attempt),
        outcome,
        elapsed: Span::from_millis(1),
        load_report: None,
        is_request_finished: false,
    }
}

fn assert_violated(checker: &RuleChecker, rule: Rule) {
    let is_violated = checker.violations.iter().any(|violation| violation.rule == rule);
    assert!(is_violated, "{rule:?}: {:?}", checker.violations);
}

fn assert_no_violations(checker: &RuleChecker) {
    assert!(checker.violations.is_empty(), "{:?}", checker.violations);
}

#[test]
fn lost_late_and_duplicate_answers_and_sends_after_the_end_are_violations() {
    let (mut checker, now) = checker_with_request(Effect::Idempotent);
    assert_eq!(checker.lost_request_count(now + Span::from_millis(900)), 1);
    checker.check_action(now, &Action::Reject { request: REQUEST, retry_after: None });
    assert_no_violations(&checker);
    checker.check_action(now, &send(0, now));
    assert_violated(&checker, Rule::NoSendAfterTheEnd);
    checker.check_action(now, &Action::Fail { request: REQUEST });
    assert_violated(&checker, Rule::OneEnd);

    let (mut checker, now) = checker_with_request(Effect::Idempotent);
    checker.check_action(now + Span::from_millis(850), &Action::Fail { request: REQUEST });
    assert_violated(&checker, Rule::EndInTime);
}

#[test]
fn duplicate_effects_are_violations() {
    let (mut checker, now) = checker_with_request(Effect::AtMostOnce);
    checker.check_action(now, &send(0, now));
    checker.check_action(now, &send(1, now));
    assert_violated(&checker, Rule::NoHedgingUnlessAllowed);
    checker.observe_event(now, &attempt_ended(Outcome::ServerError, 0));
    assert_violated(&checker, Rule::NoRetryAfterItMayHaveRun);
    checker.check_action(now, &Action::Reject { request: REQUEST, retry_after: None });
    assert_violated(&checker, Rule::NoRejectionAfterItMayHaveRun);

    let (mut checker, now) = checker_with_request(deduplicated(DedupScope::Zone, 100.0));
    checker.check_action(now, &send(0, now));
    checker.observe_event(now, &attempt_ended(Outcome::TimedOut, 0));
    checker.check_action(now, &send(2, now));
    assert_no_violations(&checker);
    checker.observe_event(now, &attempt_ended(Outcome::TimedOut, 1));
    checker.check_action(now, &send(1, now));
    assert_violated(&checker, Rule::RetryWithinDeduplicationScope);
    let after_window = now + Span::from_millis(150);
    checker.observe_event(after_window, &attempt_ended(Outcome::TimedOut, 2));
    checker.check_action(after_window, &send(0, after_window));
    assert_violated(&checker, Rule::NoRetryAfterItMayHaveRun);
}

#[test]
fn sends_to_draining_or_overloaded_warming_up_servers_are_violations() {
    let (mut checker, now) = checker_with_request(Effect::Idempotent);
    let draining = Endpoint { status: EndpointStatus::Draining, ..Endpoint::serving(ServerId(0)) };
    checker.observe_event(now, &changed(draining));
    let after_grace = now + Span::from_millis(1100);
    checker.observe_event(after_grace, &request_event(RequestId(2)));
    checker.check_action(after_grace, &send_request(RequestId(2), 0, after_grace + Span::from_millis(1)));
    assert_violated(&checker, Rule::NoSendToDrainingServer);

    let (mut checker, now) = checker_with_request(Effect::Idempotent);
    let warming_up = Endpoint { started_at: Some(now), ..Endpoint::serving(ServerId(0)) };
    checker.observe_event(now, &changed(warming_up));
    // The checker judges only once the fleet has been as it is for a whole window.
    let after_window = now + Settings::default().overload_window;
    for number in 2..13 {
        let sent_at = if number == 2 { now } else { after_window };
        checker.observe_event(sent_at, &request_event(RequestId(number)));
        checker.check_action(sent_at, &send_request(RequestId(number), 0, sent_at));
    }
    assert_violated(&checker, Rule::SlowStart);
}
