//! Tests that no effect is duplicated: which retries may follow a failed attempt, and that a request that may
//! have run is not rejected.

mod common;

use balancer_core::*;
use common::*;

/// Every outcome of a failed attempt.
const FAILURES: [Outcome; 7] = [
    Outcome::ServerError,
    Outcome::Rejected,
    Outcome::TimedOut,
    Outcome::ConnectFailed,
    Outcome::ConnectionReset,
    Outcome::Cancelled,
    Outcome::NotSent,
];
/// The deduplication window of all effects that have one.
const DEDUPLICATION_WINDOW_MS: f64 = 100.0;
const ZONE_COUNT: u32 = 3;
const CELL_COUNT: u32 = 4;

/// A first attempt that fails with `outcome` after `elapsed_ms`.
#[derive(Debug)]
struct FailedAttemptCase {
    effect: Effect,
    outcome: Outcome,
    elapsed_ms: f64,
    allows_hedging: bool,
}

/// What the balancer did after the failed attempt.
struct Reaction {
    /// The server of the first attempt.
    first_server: u32,
    /// The server of the retry; `None` if there was no retry.
    retried_at: Option<u32>,
    is_failed: bool,
    is_rejected: bool,
}

impl FailedAttemptCase {
    /// Returns all combinations of effect, outcome, and time within or past the window, with and without
    /// hedging.
    fn all() -> Vec<FailedAttemptCase> {
        let effects = [
            Effect::Idempotent,
            Effect::AtMostOnce,
            deduplicated(DedupScope::Fleet, DEDUPLICATION_WINDOW_MS),
            deduplicated(DedupScope::Zone, DEDUPLICATION_WINDOW_MS),
            deduplicated(DedupScope::Cell, DEDUPLICATION_WINDOW_MS),
        ];
        let mut cases = Vec::new();
        for allows_hedging in [false, true] {
            for effect in effects {
                for outcome in FAILURES {
                    for elapsed_ms in [5.0, 120.0] {
                        cases.push(FailedAttemptCase { effect, outcome, elapsed_ms, allows_hedging });
                    }
                }
            }
        }
        cases
    }

    /// Lets the first attempt of a request fail, and returns what the balancer did.
    fn run(&self) -> Reaction {
        let settings = Settings { allows_hedging: self.allows_hedging, ..settings_with_effect(self.effect) };
        let topology = Topology { zone_count: ZONE_COUNT, cell_count: CELL_COUNT };
        let mut harness = Harness::with_endpoints(settings, 3, fleet_in(12, topology));
        let request = harness.submit_request();
        harness.advance_ms(self.elapsed_ms);
        harness.end_attempt(request.id, FIRST_ATTEMPT, self.outcome, self.elapsed_ms);
        let reaction = Reaction {
            first_server: request.expect_sent().0,
            retried_at: harness.target_of(request.id).map(|server| server.0),
            is_failed: is_failed(&harness.actions, request.id),
            is_rejected: is_rejected(&harness.actions, request.id),
        };
        harness.assert_no_violations();
        reaction
    }

    /// Asserts that the balancer did what the effect and the outcome permit.
    fn assert_permits(&self, reaction: &Reaction) {
        let did_not_run = self.outcome.proves_not_run();
        let is_retried = reaction.retried_at.is_some();
        match self.effect {
            Effect::Idempotent => assert!(is_retried, "{self:?}"),
            Effect::AtMostOnce => {
                assert_eq!(is_retried, did_not_run, "{self:?}");
                assert_eq!(reaction.is_failed, !did_not_run, "{self:?}");
            }
            Effect::Deduplicated { scope, .. } => {
                let is_in_window = self.elapsed_ms < DEDUPLICATION_WINDOW_MS;
                assert_eq!(is_retried, did_not_run || is_in_window, "{self:?}");
                if !did_not_run {
                    self.assert_stays_in_scope(scope, is_in_window, reaction);
                }
            }
        }
    }

    /// Asserts that a request that may have run is retried only at servers that deduplicate it. Past the
    /// window, asserts that the request is rejected if all servers deduplicate it, and failed otherwise.
    fn assert_stays_in_scope(&self, scope: DedupScope, is_in_window: bool, reaction: &Reaction) {
        let first = reaction.first_server;
        let next = reaction.retried_at.unwrap_or(first);
        match scope {
            DedupScope::Fleet => assert_eq!(reaction.is_rejected, !is_in_window, "{self:?}"),
            DedupScope::Zone => assert_eq!(next % ZONE_COUNT, first % ZONE_COUNT, "{self:?}"),
            DedupScope::Cell => assert_eq!(next % CELL_COUNT, first % CELL_COUNT, "{self:?}"),
        }
        if !is_in_window && scope != DedupScope::Fleet {
            assert!(reaction.is_failed, "{self:?}");
        }
    }
}

/// Covers all combinations of effect, deduplication scope, outcome of the first attempt, and time within or
/// past the window.
#[test]
fn retry_permission_follows_effect_outcome_scope_and_window() {
    for case in FailedAttemptCase::all() {
        let reaction = case.run();
        case.assert_permits(&reaction);
    }
}

/// Retries are restricted to the zone of the first attempt that may have run. Neither the attempts before it,
/// which did not run, nor the attempts after it determine the zone.
#[test]
fn deduplication_scope_is_that_of_the_first_attempt_that_may_have_run() {
    let effect = deduplicated(DedupScope::Zone, 400.0);
    let settings = Settings { max_attempts: 6, ..settings_with_effect(effect) };
    for seed in 0..40 {
        let mut harness = Harness::with_endpoints(settings.clone(), seed, fleet_in(9, THREE_ZONES));
        let request = harness.submit_request();

        harness.end_attempt(request.id, FIRST_ATTEMPT, Outcome::ConnectFailed, 1.0);
        let second = harness
            .target_of(request.id)
            .expect("the first attempt did not run, so any server may be used")
            .0;
        harness.end_attempt(request.id, SECOND_ATTEMPT, Outcome::ConnectionReset, 1.0);
        let third =
            harness.target_of(request.id).expect("servers of the same zone may be used within the window").0;

        assert_eq!(third % 3, second % 3);
        harness.assert_no_violations();
    }
}

/// A rejection proves that the second attempt did not run, but the first attempt may have run.
#[test]
fn later_proof_of_not_running_does_not_clear_an_earlier_attempt() {
    let settings = settings_with_effect(deduplicated(DedupScope::Cell, 5000.0));
    let topology = Topology { zone_count: 2, cell_count: 4 };
    let mut harness = Harness::with_endpoints(settings, 9, fleet_in(8, topology));
    let request = harness.submit_request();
    let first_cell = request.expect_sent().0 % 4;

    harness.end_attempt(request.id, FIRST_ATTEMPT, Outcome::ServerError, 1.0);
    assert!(harness.target_of(request.id).is_some());
    harness.end_attempt(request.id, SECOND_ATTEMPT, Outcome::Rejected, 1.0);

    let third_cell = harness.target_of(request.id).map(|server| server.0 % 4);
    assert_eq!(third_cell.unwrap_or(first_cell), first_cell);
    assert!(!is_rejected(&harness.actions, request.id), "the first attempt may have run");
    harness.assert_no_violations();
}

/// The time limit for writing an attempt to its connection.
#[derive(Debug, PartialEq)]
struct WriteLimit {
    /// The time by which the attempt must be written; `None` if there is no limit.
    write_by: Option<Time>,
}

/// Returns the write limit of the first attempt that these actions send; `None` if they send no attempt.
fn write_limit_of_first_send(actions: &[Action]) -> Option<WriteLimit> {
    actions.iter().find_map(|action| match action {
        Action::Send { write_by, .. } => Some(WriteLimit { write_by: *write_by }),
        _ => None,
    })
}

/// An attempt may be written as late as the connect timeout after the decision to send it. A retry that could
/// then be written past the window is not sent. A retry that is sent must be written by the end of the
/// window, which is counted from the first attempt that may have run.
#[test]
fn retry_is_written_by_the_end_of_its_deduplication_window() {
    let settings = Settings {
        connect_timeout: Span::from_millis(250),
        max_attempts: 6,
        ..settings_with_effect(deduplicated(DedupScope::Fleet, 400.0))
    };
    for (elapsed_ms, is_retried) in [(140.0, true), (160.0, false)] {
        let mut harness = Harness::with_endpoints(settings.clone(), 3, fleet_in(9, THREE_ZONES));
        let request = harness.submit_request();
        harness.advance_ms(20.0);
        harness.end_attempt(request.id, FIRST_ATTEMPT, Outcome::ConnectFailed, 20.0);
        let second_sent_at = harness.now;
        let unlimited = Some(WriteLimit { write_by: None });
        assert_eq!(write_limit_of_first_send(&harness.actions), unlimited, "the first attempt did not run");

        harness.advance_ms(elapsed_ms);
        harness.end_attempt(request.id, SECOND_ATTEMPT, Outcome::ConnectionReset, elapsed_ms);

        let window_end = second_sent_at + Span::from_millis(400);
        let expected = is_retried.then_some(WriteLimit { write_by: Some(window_end) });
        assert_eq!(write_limit_of_first_send(&harness.actions), expected, "after {elapsed_ms} ms");
        harness.assert_no_violations();
    }
}
