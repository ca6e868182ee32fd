//! Tests of outlier ejection: servers that do not respond, fail quickly or become slow are ejected, and are
//! used again once they have recovered. If a load slows the whole fleet down, no server is ejected.

mod common;

use balancer_core::*;
use common::{
    class, fleet, settings_with_effect, Harness, Response, SequentialLoad, SubmittedRequest, FIRST_ATTEMPT,
    SECOND_ATTEMPT,
};

/// Returns a harness with a dense view and one class with this effect.
fn harness(effect: Effect, seed: u64, server_count: u32) -> Harness {
    Harness::with_endpoints(settings_with_effect(effect), seed, fleet(server_count))
}

/// Sends requests one after the other and ends each attempt with the response that `respond` returns for its
/// server. Asserts that no rule was violated, and returns the number of attempts at each server.
fn serve(harness: &mut Harness, request_count: u32, respond: impl Fn(ServerId) -> Response) -> Vec<u32> {
    let load = SequentialLoad { request_count, gap_ms: 5.0 };
    let attempts_by_server = harness.serve_sequentially(load, respond);
    harness.assert_no_violations();
    attempts_by_server
}

/// Sends requests like [`serve`], and ends each attempt with success after `elapsed_ms`.
fn serve_successfully(harness: &mut Harness, request_count: u32, elapsed_ms: f64) -> Vec<u32> {
    serve(harness, request_count, |_| Response::success(elapsed_ms))
}

fn is_cancel(action: &Action) -> bool {
    matches!(action, Action::Cancel { .. })
}

/// Returns the action that cancels the first attempt of a request.
fn cancel_of_first_attempt(request: RequestId) -> Action {
    Action::Cancel { request, attempt: FIRST_ATTEMPT }
}

/// A server that fails quickly has few attempts in flight, so it seems to be the least loaded server.
#[test]
fn quick_errors_do_not_attract_requests() {
    for fault in [Outcome::ServerError, Outcome::ConnectFailed, Outcome::ConnectionReset] {
        let mut harness = harness(Effect::Idempotent, 11, 5);

        let during_fault = serve(&mut harness, 400, |server| match server.0 {
            2 => Response { outcome: fault, elapsed_ms: 0.2 },
            _ => Response::success(30.0),
        });
        let after_fault = serve_successfully(&mut harness, 400, 30.0);

        assert!(during_fault[2] <= 12, "{fault:?}: server 2 was sent more than probes: {during_fault:?}");
        assert!(during_fault[2] >= 3, "{fault:?}: server 2 was sent too few probes: {during_fault:?}");
        assert!(after_fault[2] > 30, "{fault:?}: server 2 was not used again: {after_fault:?}");
    }
}

#[test]
fn much_slower_server_is_ejected_and_restored() {
    let mut harness = harness(Effect::Idempotent, 11, 5);

    let elapsed_ms = |server: ServerId| if server.0 == 2 { 300.0 } else { 30.0 };
    let while_slow = serve(&mut harness, 300, |server| Response::success(elapsed_ms(server)));
    let after_recovery = serve_successfully(&mut harness, 600, 30.0);

    assert!(while_slow[2] < 20, "{while_slow:?}");
    assert!(after_recovery[2] > 30, "{after_recovery:?}");
}

#[test]
fn uniformly_slow_fleet_keeps_all_its_servers() {
    let mut harness = harness(Effect::Idempotent, 11, 5);
    serve_successfully(&mut harness, 100, 30.0);

    let attempts = serve_successfully(&mut harness, 300, 110.0);

    assert!(attempts.iter().all(|count| *count > 20), "{attempts:?}");
}

/// Returns a server that more than one of these requests were sent to.
fn server_with_several_requests(requests: &[SubmittedRequest]) -> Option<ServerId> {
    let count_at = |server| requests.iter().filter(|request| request.server == Some(server)).count();
    requests.iter().filter_map(|request| request.server).find(|&server| count_at(server) > 1)
}

#[test]
fn silent_server_is_ejected_and_its_idempotent_requests_are_retried() {
    let mut harness = harness(Effect::Idempotent, 5, 4);
    serve_successfully(&mut harness, 40, 20.0);
    // At least two requests are in flight at the silent server. All other servers respond.
    let requests = harness.submit_burst(8);
    let silent = server_with_several_requests(&requests).expect("more requests than servers");
    let (hanging, others): (Vec<_>, Vec<_>) =
        requests.into_iter().partition(|request| request.server == Some(silent));
    for request in others {
        harness.succeed(request.id, 20.0);
    }

    let actions = harness.advance_ms(150.0);

    for request in hanging {
        assert!(actions.contains(&cancel_of_first_attempt(request.id)), "{actions:?}");
        harness.end_attempt(request.id, FIRST_ATTEMPT, Outcome::Cancelled, 150.0);
        assert!(harness.target_of(request.id).is_some_and(|server| server != silent));
        harness.end_attempt(request.id, SECOND_ATTEMPT, Outcome::Success, 20.0);
    }
    let attempts = serve_successfully(&mut harness, 6, 20.0);
    assert_eq!(attempts[silent.0 as usize], 0, "the silent server is sent no request before its first probe");
}

/// At low load, an attempt that takes long may be a costly request. If the attempt were overdue before its
/// latency objective, healthy servers would be ejected and costly requests would be retried in vain.
#[test]
fn costly_request_is_not_overdue_before_its_objective() {
    let mut harness = harness(Effect::Idempotent, 5, 4);
    serve_successfully(&mut harness, 40, 20.0);
    assert!(harness.submit_request().is_sent());

    let before_objective = harness.advance_ms(195.0);
    let after_objective = harness.advance_ms(60.0);

    let is_reaction = |action: &Action| is_cancel(action) || matches!(action, Action::Notify(_));
    assert!(!before_objective.iter().any(is_reaction));
    assert!(after_objective.iter().any(is_reaction), "the request is overdue after its objective");
}

/// The response to a request is lost while its server responds to other requests. If the attempt were not
/// cancelled, it would stay in flight and count towards the concurrency limit until the request's deadline.
#[test]
fn hanging_idempotent_request_is_cancelled_and_retried() {
    let late_class = RequestClass { late_value: 0.3, ..class(Effect::Idempotent) };
    let settings = Settings { classes: vec![late_class], ..Settings::default() };
    let mut harness = Harness::with_endpoints(settings, 5, fleet(1));
    serve_successfully(&mut harness, 40, 20.0);
    let hanging = harness.submit_request().id;

    let cancel = cancel_of_first_attempt(hanging);
    let is_cancelled = (0..20).any(|_| {
        let request = harness.submit_request();
        assert!(request.is_sent());
        let actions = harness.advance_ms(20.0);
        harness.succeed(request.id, 20.0);
        actions.contains(&cancel)
    });
    harness.end_attempt(hanging, FIRST_ATTEMPT, Outcome::Cancelled, 300.0);

    assert!(is_cancelled, "the attempt is cancelled well before the deadline");
    assert!(harness.target_of(hanging).is_some(), "the request is retried");
    harness.assert_no_violations();
}

/// A server takes 700 of the 800 ms that the client waits to write its response, in parts.
#[test]
fn a_response_that_arrives_slowly_is_neither_cancelled_nor_a_reason_to_eject_its_server() {
    let late_class = RequestClass { late_value: 0.3, ..class(Effect::Idempotent) };
    let settings = Settings { classes: vec![late_class], ..Settings::default() };
    let mut harness = Harness::with_endpoints(settings, 5, fleet(4));
    serve_successfully(&mut harness, 40, 20.0);
    let request = harness.submit_request();
    assert!(request.is_sent());

    let mut actions = Vec::new();
    for _ in 0..7 {
        actions.extend(harness.advance_ms(100.0));
        harness.handle(Event::ResponseProgress { request: request.id, attempt: FIRST_ATTEMPT });
    }

    let is_reaction = |action: &Action| is_cancel(action) || matches!(action, Action::Notify(_));
    assert!(!actions.iter().any(is_reaction), "{actions:?}");
    harness.succeed(request.id, 700.0);
    harness.assert_no_violations();
}

#[test]
fn at_most_once_request_is_not_cancelled() {
    let mut harness = harness(Effect::AtMostOnce, 5, 4);
    let request = harness.submit_request();

    let actions = harness.advance_ms(790.0);

    assert!(!actions.iter().any(is_cancel), "{actions:?}");
    harness.end_attempt(request.id, FIRST_ATTEMPT, Outcome::TimedOut, 800.0);
    harness.assert_no_violations();
}

/// If lost responses counted as load, one lost response in seven would lower the concurrency limit of a fast
/// server to one request.
#[test]
fn lost_response_among_quick_ones_does_not_count_as_load() {
    let mut harness = harness(Effect::AtMostOnce, 5, 1);
    serve_successfully(&mut harness, 100, 20.0);

    for _ in 0..40 {
        let lost = harness.submit_request();
        assert!(lost.is_sent(), "the server has capacity for the request");
        for _ in 0..6 {
            harness.submit_and_succeed(20.0).expect("the server has capacity for a second request");
        }
        harness.advance_ms(680.0);
        harness.end_attempt(lost.id, FIRST_ATTEMPT, Outcome::TimedOut, 800.0);
    }

    harness.assert_no_violations();
}

/// Without load reports, ties between servers are broken at random. If the server with the fewest requests
/// since the start won, a server that joins late or returns would win every tie until it has caught up with
/// the others.
#[test]
fn late_joining_server_does_not_win_every_tie() {
    let mut harness = harness(Effect::Idempotent, 11, 4);
    serve_successfully(&mut harness, 400, 30.0);

    harness.set_endpoints(fleet(5));
    let attempts = serve_successfully(&mut harness, 100, 30.0);

    assert!((5..50).contains(&attempts[4]), "{attempts:?}: about a fifth should go to the fifth server");
}

/// Idempotent requests are preferred as probes of an ejected server. If no class is idempotent, requests of
/// other classes must probe the server.
#[test]
fn ejected_server_is_restored_without_idempotent_classes() {
    let mut harness = harness(Effect::AtMostOnce, 11, 3);
    serve(&mut harness, 100, |server| match server.0 {
        1 => Response { outcome: Outcome::ServerError, elapsed_ms: 0.2 },
        _ => Response::success(20.0),
    });

    let attempts = serve_successfully(&mut harness, 400, 20.0);

    assert!(attempts[1] > 30, "{attempts:?}");
}

#[test]
fn unreachable_majority_leaves_the_rest_in_use() {
    let mut harness = harness(Effect::Idempotent, 11, 8);
    let respond = |server: ServerId| match server.0 {
        0..6 => Response { outcome: Outcome::ConnectFailed, elapsed_ms: 100.0 },
        _ => Response::success(20.0),
    };
    serve(&mut harness, 60, respond);

    let attempts = serve(&mut harness, 100, respond);

    assert!(attempts[..6].iter().sum::<u32>() < 40, "{attempts:?}");
    assert!(attempts[6] + attempts[7] >= 95, "{attempts:?}");
}

#[test]
fn wholly_failing_fleet_is_still_sent_requests() {
    let mut harness = harness(Effect::Idempotent, 11, 4);
    serve(&mut harness, 40, |_| Response { outcome: Outcome::ServerError, elapsed_ms: 1.0 });

    let attempts = serve_successfully(&mut harness, 40, 20.0);

    assert!(attempts.iter().sum::<u32>() >= 40, "{attempts:?}");
}
