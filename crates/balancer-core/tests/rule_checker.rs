//! Tests of the rule checker that the other tests rely on: the checker must report violations of the rules.

mod common;

use balancer_core::*;
use common::*;

const REQUEST: RequestId = RequestId(1);
const THIRD_ATTEMPT: AttemptNumber = AttemptNumber(2);
/// The time at which [`REQUEST`] arrives.
const START: Time = Time::from_millis(1000);

/// Returns a checker that has observed a fleet of four servers and the arrival of [`REQUEST`].
fn checker_with_request(effect: Effect) -> RuleChecker {
    let settings =
        Settings { initial_capacity: 0.2, warm_up_time: Span::from_secs(10), ..settings_with_effect(effect) };
    let endpoints = fleet_in(4, Topology { zone_count: 2, cell_count: 4 });
    let mut checker = RuleChecker::new(&settings);
    checker.observe_event(START, &Event::Endpoints(EndpointUpdate::Complete(endpoints)));
    checker.observe_event(START, &request_event(REQUEST));
    checker
}

/// Returns the event for the arrival of a request of class 0.
fn request_event(id: RequestId) -> Event {
    Event::Request(Request::new(id, ClassId(0), CLASS_TIMEOUT))
}

/// Returns the event for a change of one entry of the endpoint list.
fn endpoint_changed(endpoint: Endpoint) -> Event {
    Event::Endpoints(EndpointUpdate::Changes(vec![endpoint]))
}

/// Returns the action that sends [`REQUEST`] to a server.
fn send_to(server: ServerId, now: Time) -> Action {
    send(REQUEST, server, now + Span::from_millis(1))
}

fn send(request: RequestId, server: ServerId, timeout_at: Time) -> Action {
    Action::Send { request, server, timeout_at, write_by: None }
}

/// Returns the event for the end of an attempt of [`REQUEST`] that does not finish the request.
fn attempt_ended(outcome: Outcome, attempt: AttemptNumber) -> Event {
    Event::AttemptEnded {
        request: REQUEST,
        attempt,
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

const REJECT: Action = Action::Reject { request: REQUEST, retry_after: None };
const FAIL: Action = Action::Fail { request: REQUEST };

#[test]
fn lost_late_and_duplicate_final_responses_and_later_sends_are_violations() {
    let mut checker = checker_with_request(Effect::Idempotent);
    assert_eq!(checker.lost_request_count(START + Span::from_millis(900)), 1);
    checker.check_action(START, &REJECT);
    assert_no_violations(&checker);
    checker.check_action(START, &send_to(ServerId(0), START));
    assert_violated(&checker, Rule::NoSendAfterFinalResponse);
    checker.check_action(START, &FAIL);
    assert_violated(&checker, Rule::OneFinalResponse);

    let mut checker = checker_with_request(Effect::Idempotent);
    checker.check_action(START + Span::from_millis(850), &FAIL);
    assert_violated(&checker, Rule::FinalResponseInTime);
}

#[test]
fn duplicate_effects_are_violations() {
    let mut checker = checker_with_request(Effect::AtMostOnce);
    checker.check_action(START, &send_to(ServerId(0), START));
    checker.check_action(START, &send_to(ServerId(1), START));
    assert_violated(&checker, Rule::NoHedgingUnlessAllowed);
    checker.observe_event(START, &attempt_ended(Outcome::ServerError, FIRST_ATTEMPT));
    assert_violated(&checker, Rule::NoRetryAfterItMayHaveRun);
    checker.check_action(START, &REJECT);
    assert_violated(&checker, Rule::NoRejectionAfterItMayHaveRun);

    let mut checker = checker_with_request(deduplicated(DedupScope::Zone, 100.0));
    checker.check_action(START, &send_to(ServerId(0), START));
    checker.observe_event(START, &attempt_ended(Outcome::TimedOut, FIRST_ATTEMPT));
    checker.check_action(START, &send_to(ServerId(2), START));
    assert_no_violations(&checker);
    checker.observe_event(START, &attempt_ended(Outcome::TimedOut, SECOND_ATTEMPT));
    checker.check_action(START, &send_to(ServerId(1), START));
    assert_violated(&checker, Rule::RetryWithinDeduplicationScope);
    let after_window = START + Span::from_millis(150);
    checker.observe_event(after_window, &attempt_ended(Outcome::TimedOut, THIRD_ATTEMPT));
    checker.check_action(after_window, &send_to(ServerId(0), after_window));
    assert_violated(&checker, Rule::NoRetryAfterItMayHaveRun);
}

#[test]
fn sends_to_draining_or_overloaded_warming_up_servers_are_violations() {
    let mut checker = checker_with_request(Effect::Idempotent);
    let draining = Endpoint { status: EndpointStatus::Draining, ..Endpoint::serving(ServerId(0)) };
    checker.observe_event(START, &endpoint_changed(draining));
    let after_grace = START + Span::from_millis(1100);
    checker.observe_event(after_grace, &request_event(RequestId(2)));
    let timeout_at = after_grace + Span::from_millis(1);
    checker.check_action(after_grace, &send(RequestId(2), ServerId(0), timeout_at));
    assert_violated(&checker, Rule::NoSendToDrainingServer);

    let mut checker = checker_with_request(Effect::Idempotent);
    let warming_up = Endpoint { started_at: Some(START), ..Endpoint::serving(ServerId(0)) };
    checker.observe_event(START, &endpoint_changed(warming_up));
    // The checker reports an overload only after the warm servers have been the same for a whole window.
    let after_window = START + Settings::default().overload_window;
    for number in 2..13 {
        let sent_at = if number == 2 { START } else { after_window };
        checker.observe_event(sent_at, &request_event(RequestId(number)));
        checker.check_action(sent_at, &send(RequestId(number), ServerId(0), sent_at));
    }
    assert_violated(&checker, Rule::SlowStart);
}
