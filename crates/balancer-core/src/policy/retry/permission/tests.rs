//! Tests of what the rules permit for a request, one condition at a time.

use super::*;
use crate::policy::fleet::ServerRegistry;
use crate::{ClassId, Endpoint, Request, RequestClass, RequestId, ServerId, Span};

const NOW: Time = Time::from_millis(1_000);
const DEADLINE: Time = Time::from_millis(2_000);
const ZONE: ZoneId = ZoneId(3);
const CELL: CellId = CellId(4);

fn settings(effect: Effect) -> Settings {
    let class = RequestClass { effect, ..RequestClass::default() };
    Settings { classes: vec![class], max_attempts: 3, ..Settings::default() }
}

fn active_request(states: &[AttemptState]) -> ActiveRequest {
    let mut registry = ServerRegistry::new();
    registry.update(NOW, vec![Endpoint::serving(ServerId(1))], true);
    let server = registry.find(ServerId(1)).expect("the server is listed");
    let attempt = |&state| Attempt { server, zone: ZONE, cell: CELL, sent_at: NOW, state };
    ActiveRequest {
        request: Request::new(RequestId(1), ClassId(0), Span::from_millis(1000)),
        deadline: DEADLINE,
        objective_deadline: DEADLINE,
        attempts: states.iter().map(attempt).collect(),
        is_bound_to_stream: false,
        is_over_share: false,
    }
}

fn scope_of(settings: &Settings, active: &ActiveRequest, now: Time) -> RetryScope {
    AttemptPermission::of(settings, active, now).scope
}

#[test]
fn nothing_is_sent_at_the_deadline() {
    let settings = settings(Effect::Idempotent);
    let active = active_request(&[]);

    assert_eq!(scope_of(&settings, &active, DEADLINE - Span::from_micros(1)), RetryScope::Anywhere);
    assert_eq!(scope_of(&settings, &active, DEADLINE), RetryScope::Nowhere);
}

#[test]
fn a_request_bound_to_a_stream_is_neither_sent_nor_rejected() {
    let settings = settings(Effect::Idempotent);
    let mut active = active_request(&[AttemptState::DidNotRun]);
    active.is_bound_to_stream = true;

    let permission = AttemptPermission::of(&settings, &active, NOW);

    assert_eq!(permission.scope, RetryScope::Nowhere);
    assert!(!permission.may_reject);
}

#[test]
fn a_second_attempt_in_flight_needs_hedging() {
    let mut settings = settings(Effect::Idempotent);
    let active = active_request(&[AttemptState::InFlight]);
    assert_eq!(scope_of(&settings, &active, NOW), RetryScope::Nowhere);

    settings.allows_hedging = true;

    assert_eq!(scope_of(&settings, &active, NOW), RetryScope::Anywhere);
}

#[test]
fn no_attempt_is_sent_beyond_the_maximum() {
    let settings = settings(Effect::Idempotent);

    assert_eq!(
        scope_of(&settings, &active_request(&[AttemptState::DidNotRun; 2]), NOW),
        RetryScope::Anywhere
    );
    assert_eq!(scope_of(&settings, &active_request(&[AttemptState::DidNotRun; 3]), NOW), RetryScope::Nowhere);
}

#[test]
fn a_deduplicated_retry_stays_in_scope_and_window() {
    let window = Span::from_millis(400);
    let active = active_request(&[AttemptState::MayHaveRun]);
    for (scope, expected) in [
        (DedupScope::Fleet, RetryScope::Anywhere),
        (DedupScope::Zone, RetryScope::Zone(ZONE)),
        (DedupScope::Cell, RetryScope::Cell(CELL)),
    ] {
        let settings = settings(Effect::Deduplicated { scope, window });

        let in_window = AttemptPermission::of(&settings, &active, NOW + window);
        let past_window = AttemptPermission::of(&settings, &active, NOW + window + Span::from_micros(1));

        assert_eq!((in_window.scope, in_window.write_by), (expected, Some(NOW + window)));
        assert_eq!(past_window.scope, RetryScope::Nowhere);
        assert_eq!(in_window.may_reject, scope == DedupScope::Fleet);
    }
}
