//! Tests that an effect does not happen twice: which retries may follow an attempt, and that a request that
//! may have run is not reported as rejected.

mod common;

use balancer_core::*;
use common::*;

const FAILURES: [Outcome; 7] = [
    Outcome::ServerError,
    Outcome::Rejected,
    Outcome::TimedOut,
    Outcome::ConnectFailed,
    Outcome::ConnectionReset,
    Outcome::Cancelled,
    Outcome::NotSent,
];
const DEDUPLICATION_WINDOW_MS: f64 = 100.0;
const ZONE_COUNT: u32 = 3;
const CELL_COUNT: u32 = 4;

/// A first attempt that fails.
#[derive(Debug)]
struct FailedAttemptCase {
    effect: Effect,
    outcome: Outcome,
    elapsed_ms: f64,
    allows_hedging: bool,
}

/// What followed the failed attempt.
struct Sequel {
    first_server: u32,
    retried_at: Option<u32>,
    is_failed: bool,
    is_rejected: bool,
}

impl FailedAttemptCase {
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

    fn run(&self) -> Sequel {
        let settings = Settings {
            classes: vec![class(self.effect)],
            allows_hedging: self.allows_hedging,
            ..Settings::default()
        };
        let mut harness = Harness::with_endpoints(settings, 3, fleet(12, ZONE_COUNT, CELL_COUNT));
        let request = harness.send_request(0);
        harness.advance_ms(self.elapsed_ms);
        harness.end_attempt(request.id, 0, self.outcome, self.elapsed_ms);
        let sequel = Sequel {
            first_server: request.server.expect("an idle fleet takes a request").0,
            retried_at: harness.target_of(request.id).map(|server| server.0),
            is_failed: is_failed(&harness.actions, request.id),
            is_rejected: is_rejected(&harness.actions, request.id),
        };
        harness.assert_no_violations();
        sequel
    }

    fn assert_allows(&self, sequel: &Sequel) {
        let did_not_run = self.outcome.proves_not_run();
        let is_retried = sequel.retried_at.is_some();
        match self.effect {
            Effect::Idempotent => assert!(is_retried, "{self:?}"),
            Effect::AtMostOnce => {
                assert_eq!(is_retried, did_not_run, "{self:?}");
                assert_eq!(sequel.is_failed, !did_not_run, "{self:?}");
            }
            Effect::Deduplicated { scope, .. } => {
                let is_in_window = self.elapsed_ms < DEDUPLICATION_WINDOW_MS;
                assert_eq!(is_retried, did_not_run || is_in_window, "{self:?}");
                if !did_not_run {
                    self.assert_stays_in_scope(scope, is_in_window, sequel);
                }
            }
        }
    }

    fn assert_stays_in_scope(&self, scope: DedupScope, is_in_window: bool, sequel: &Sequel) {
        let first = sequel.first_server;
        let next = sequel.retried_at.unwrap_or(first);
        match scope {
            DedupScope::Fleet => assert_eq!(sequel.is_rejected, !is_in_window, "{self:?}"),
            DedupScope::Zone => assert_eq!(next % ZONE_COUNT, first % ZONE_COUNT, "{self:?}"),
            DedupScope::Cell => assert_eq!(next % CELL_COUNT, first % CELL_COUNT, "{self:?}"),
        }
        if !is_in_window && scope != DedupScope::Fleet {
            assert!(sequel.is_failed, "{self:?}");
        }
    }
}

/// The whole table: effect x outcome of the first attempt x scope x inside or past the window.
#[test]
fn retry_permission_follows_effect_outcome_scope_and_window() {
    for case in FailedAttemptCase::all() {
        let sequel = case.run();
        case.assert_allows(&sequel);
    }
}

/// The window and the scope are those of the first attempt that may have run, not of the first or the last.
#[test]
fn deduplication_scope_is_that_of_the_first_attempt_that_may_have_run() {
    let settings = Settings {
        classes: vec![class(deduplicated(DedupScope::Zone, 400.0))],
        max_attempts: 6,
        ..Settings::default()
    };
    for seed in 0..40 {
        let mut harness = Harness::with_endpoints(settings.clone(), seed, fleet(9, 3, 3));
        let request = harness.send_request(0);

        harness.end_attempt(request.id, 0, Outcome::ConnectFailed, 1.0);
        let second = harness.target_of(request.id).expect("never ran: anywhere").0;
        harness.end_attempt(request.id, 1, Outcome::ConnectionReset, 1.0);
        let third = harness.target_of(request.id).expect("inside the window: same zone").0;

        assert_eq!(third % 3, second % 3);
        harness.assert_no_violations();
    }
}

/// Proof that a later attempt did not run says nothing of an earlier one that may have.
#[test]
fn later_proof_of_not_running_does_not_clear_an_earlier_attempt() {
    let classes = vec![class(deduplicated(DedupScope::Cell, 5000.0))];
    let settings = Settings { classes, ..Settings::default() };
    let mut harness = Harness::with_endpoints(settings, 9, fleet(8, 2, 4));
    let request = harness.send_request(0);
    let first_cell = request.server.expect("it is sent").0 % 4;

    harness.end_attempt(request.id, 0, Outcome::ServerError, 1.0);
    assert!(harness.target_of(request.id).is_some());
    harness.end_attempt(request.id, 1, Outcome::Rejected, 1.0);

    let third_cell = harness.target_of(request.id).map(|server| server.0 % 4);
    assert_eq!(third_cell.unwrap_or(first_cell), first_cell);
    assert!(!is_rejected(&harness.actions, request.id), "it may have run in the first attempt");
    harness.assert_no_violations();
}

/// When a send must be written.
#[derive(Debug, PartialEq)]
struct SendLimit {
    write_by: Option<Time>,
}

/// The limit of the first of these sends.
fn first_send(actions: &[Action]) -> Option<SendLimit> {
    actions.iter().find_map(|action| match action {
        Action::Send { write_by, .. } => Some(SendLimit { write_by: *write_by }),
        _ => None,
    })
}

/// An attempt may be written up to a connect's time after it is decided. A retry that would then be past its
/// window is not begun, and one that is begun carries the window's end, counted from the first attempt that
/// may have run.
#[test]
fn retry_carries_the_end_of_its_deduplication_window() {
    let settings = Settings {
        classes: vec![class(deduplicated(DedupScope::Fleet, 400.0))],
        connect_timeout: Span::from_millis(250),
        max_attempts: 6,
        ..Settings::default()
    };
    for (elapsed_ms, is_retried) in [(140.0, true), (160.0, false)] {
        let mut harness = Harness::with_endpoints(settings.clone(), 3, fleet(9, 3, 3));
        let request = harness.send_request(0);
        harness.advance_ms(20.0);
        harness.end_attempt(request.id, 0, Outcome::ConnectFailed, 20.0);
        let second_sent_at = harness.now;
        let unlimited = Some(SendLimit { write_by: None });
        assert_eq!(first_send(&harness.actions), unlimited, "the first attempt never ran");

        harness.advance_ms(elapsed_ms);
        harness.end_attempt(request.id, 1, Outcome::ConnectionReset, elapsed_ms);

        let window_end = second_sent_at + Span::from_millis(400);
        let expected = is_retried.then_some(SendLimit { write_by: Some(window_end) });
        assert_eq!(first_send(&harness.actions), expected, "after {elapsed_ms} ms");
        harness.assert_no_violations();
    }
}
