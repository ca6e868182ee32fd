//! Tests that servers which hang, fail fast or slow down are ejected and come back, and that load on all
//! servers is not taken for faults of some.

mod common;

use balancer_core::*;
use common::*;

fn settings(effect: Effect) -> Settings {
    Settings { classes: vec![class(effect)], ..Settings::default() }
}

fn harness(effect: Effect, seed: u64, server_count: u32) -> Harness {
    Harness::with_endpoints(settings(effect), seed, fleet(server_count, 1, 1))
}

/// Requests one after the other; how many attempts each of `server_count` servers got.
fn serve(
    harness: &mut Harness,
    server_count: usize,
    request_count: u32,
    respond: impl Fn(ServerId) -> Response,
) -> Vec<u32> {
    let load = SequentialLoad { server_count, request_count, pause_ms: 5.0 };
    let attempts_by_server = harness.serve_sequentially(load, respond);
    harness.assert_no_violations();
    attempts_by_server
}

fn serve_well(harness: &mut Harness, server_count: usize, request_count: u32, elapsed_ms: f64) -> Vec<u32> {
    serve(harness, server_count, request_count, |_| Response::success(elapsed_ms))
}

fn is_cancel(action: &Action) -> bool {
    matches!(action, Action::Cancel { .. })
}

fn cancel_of_first_attempt(request: RequestId) -> Action {
    Action::Cancel { request, attempt: AttemptNumber(0) }
}

#[test]
fn quick_errors_do_not_attract_requests() {
    for fault in [Outcome::ServerError, Outcome::ConnectFailed, Outcome::ConnectionReset] {
        let mut harness = harness(Effect::Idempotent, 11, 5);

        let during_fault = serve(&mut harness, 5, 400, |server| match server.0 {
            2 => Response { outcome: fault, elapsed_ms: 0.2 },
            _ => Response::success(30.0),
        });
        let after_fault = serve_well(&mut harness, 5, 400, 30.0);

        assert!(during_fault[2] <= 12, "{fault:?}: {during_fault:?}, of them probes only");
        assert!(during_fault[2] >= 3, "{fault:?}: {during_fault:?}, it is tried again");
        assert!(after_fault[2] > 30, "{fault:?}: {after_fault:?}, it is restored");
    }
}

#[test]
fn much_slower_server_is_ejected_and_restored() {
    let mut harness = harness(Effect::Idempotent, 11, 5);

    let elapsed_ms = |server: ServerId| if server.0 == 2 { 300.0 } else { 30.0 };
    let while_slow = serve(&mut harness, 5, 300, |server| Response::success(elapsed_ms(server)));
    let after_recovery = serve_well(&mut harness, 5, 600, 30.0);

    assert!(while_slow[2] < 20, "{while_slow:?}");
    assert!(after_recovery[2] > 30, "{after_recovery:?}");
}

#[test]
fn uniformly_slow_fleet_keeps_all_its_servers() {
    let mut harness = harness(Effect::Idempotent, 11, 5);
    serve_well(&mut harness, 5, 100, 30.0);

    let attempts = serve_well(&mut harness, 5, 300, 110.0);

    assert!(attempts.iter().all(|count| *count > 20), "{attempts:?}");
}

/// The server that more than one of these requests was sent to.
fn server_with_several(requests: &[SubmittedRequest]) -> Option<ServerId> {
    let count_at = |server| requests.iter().filter(|request| request.server == Some(server)).count();
    requests.iter().filter_map(|request| request.server).find(|&server| count_at(server) > 1)
}

#[test]
fn silent_server_is_ejected_and_its_idempotent_requests_are_retried() {
    let mut harness = harness(Effect::Idempotent, 5, 4);
    serve_well(&mut harness, 4, 40, 20.0);
    // Two requests are at the silent server and none at the others: only there nothing comes back.
    let requests = harness.send_burst(8);
    let silent = server_with_several(&requests).expect("more requests than servers");
    let (hanging, answered): (Vec<_>, Vec<_>) =
        requests.into_iter().partition(|request| request.server == Some(silent));
    for request in answered {
        harness.succeed(request.id, 20.0);
    }

    let actions = harness.advance_ms(150.0);

    for request in hanging {
        assert!(actions.contains(&cancel_of_first_attempt(request.id)), "{actions:?}");
        harness.end_attempt(request.id, 0, Outcome::Cancelled, 150.0);
        assert!(harness.target_of(request.id).is_some_and(|server| server != silent));
        harness.end_attempt(request.id, 1, Outcome::Success, 20.0);
    }
    let attempts = serve_well(&mut harness, 4, 6, 20.0);
    assert_eq!(attempts[silent.0 as usize], 0, "not before its first probe");
}

/// On quiet days costly requests made healthy servers suspect, each a second time in vain.
#[test]
fn costly_request_is_not_overdue_before_its_objective() {
    let mut harness = harness(Effect::Idempotent, 5, 4);
    serve_well(&mut harness, 4, 40, 20.0);
    assert!(harness.send_request(0).is_sent());

    let before_objective = harness.advance_ms(195.0);
    let after_objective = harness.advance_ms(60.0);

    let is_reaction = |action: &Action| is_cancel(action) || matches!(action, Action::Notify(_));
    assert!(!before_objective.iter().any(is_reaction));
    assert!(after_objective.iter().any(is_reaction), "past its objective it counts");
}

/// Its answer is lost, but its server answers others: it once waited for its deadline and held a place till
/// then.
#[test]
fn hanging_idempotent_request_is_cancelled_and_retried() {
    let late_class = RequestClass { late_value: 0.3, ..class(Effect::Idempotent) };
    let settings = Settings { classes: vec![late_class], ..Settings::default() };
    let mut harness = Harness::with_endpoints(settings, 5, fleet(1, 1, 1));
    serve_well(&mut harness, 1, 40, 20.0);
    let hanging = harness.send_request(0).id;

    let cancel = cancel_of_first_attempt(hanging);
    let is_cancelled = (0..20).any(|_| {
        let request = harness.send_request(0);
        assert!(request.is_sent());
        let actions = harness.advance_ms(20.0);
        harness.succeed(request.id, 20.0);
        actions.contains(&cancel)
    });
    harness.end_attempt(hanging, 0, Outcome::Cancelled, 300.0);

    assert!(is_cancelled, "well before its deadline");
    assert!(harness.target_of(hanging).is_some(), "and sent again");
    harness.assert_no_violations();
}

#[test]
fn at_most_once_request_is_not_cancelled() {
    let mut harness = harness(Effect::AtMostOnce, 5, 4);
    let request = harness.send_request(0);

    let actions = harness.advance_ms(790.0);

    assert!(!actions.iter().any(is_cancel), "{actions:?}");
    harness.end_attempt(request.id, 0, Outcome::TimedOut, 800.0);
    harness.assert_no_violations();
}

/// Answers that are lost on the way, one in seven, once cut a quick server's limit to one request.
#[test]
fn lost_answer_among_quick_ones_does_not_count_as_load() {
    let mut harness = harness(Effect::AtMostOnce, 5, 1);
    serve_well(&mut harness, 1, 100, 20.0);

    for _ in 0..40 {
        let lost = harness.send_request(0);
        assert!(lost.is_sent(), "there is capacity for it");
        for _ in 0..6 {
            harness.send_and_succeed(20.0).expect("there is capacity beside it");
        }
        harness.advance_ms(680.0);
        harness.end_attempt(lost.id, 0, Outcome::TimedOut, 800.0);
    }

    harness.assert_no_violations();
}

/// Where no report tells the loads, a tie once went to the server that had been sent the least since the
/// start: one that joins late, or comes back, drew all ties until it had caught up with the others.
#[test]
fn late_joining_server_does_not_win_every_tie() {
    let mut harness = harness(Effect::Idempotent, 11, 4);
    serve_well(&mut harness, 5, 400, 30.0);

    harness.set_endpoints(fleet(5, 1, 1));
    let attempts = serve_well(&mut harness, 5, 100, 30.0);

    assert!((5..50).contains(&attempts[4]), "{attempts:?}: about a fifth are its");
}

/// Without an idempotent class nothing would ever probe an ejected server, so others must after a while.
#[test]
fn ejected_server_is_restored_without_idempotent_classes() {
    let mut harness = harness(Effect::AtMostOnce, 11, 3);
    serve(&mut harness, 3, 100, |server| match server.0 {
        1 => Response { outcome: Outcome::ServerError, elapsed_ms: 0.2 },
        _ => Response::success(20.0),
    });

    let attempts = serve_well(&mut harness, 3, 400, 20.0);

    assert!(attempts[1] > 30, "{attempts:?}");
}

#[test]
fn unreachable_majority_leaves_the_rest_in_use() {
    let mut harness = harness(Effect::Idempotent, 11, 8);
    let respond = |server: ServerId| match server.0 {
        0..6 => Response { outcome: Outcome::ConnectFailed, elapsed_ms: 100.0 },
        _ => Response::success(20.0),
    };
    serve(&mut harness, 8, 60, respond);

    let attempts = serve(&mut harness, 8, 100, respond);

    assert!(attempts[..6].iter().sum::<u32>() < 40, "{attempts:?}");
    assert!(attempts[6] + attempts[7] >= 95, "{attempts:?}");
}

#[test]
fn wholly_failing_fleet_is_still_sent_requests() {
    let mut harness = harness(Effect::Idempotent, 11, 4);
    serve(&mut harness, 4, 40, |_| Response { outcome: Outcome::ServerError, elapsed_ms: 1.0 });

    let attempts = serve_well(&mut harness, 4, 40, 20.0);

    assert!(attempts.iter().sum::<u32>() >= 40, "{attempts:?}");
}
