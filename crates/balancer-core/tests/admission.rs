//! Tests of admission control: what lowers and what raises the admission probability.

mod common;

use balancer_core::*;
use common::*;
use std::cell::Cell;
use std::collections::BTreeSet;

/// Returns a harness with a sparse view of `server_count` servers.
fn sparse_harness(seed: u64, server_count: u32) -> Harness {
    Harness::with_endpoints(sparse_settings(), seed, fleet(server_count))
}

/// In a sparse view each balancer sends a server only one request in many seconds, so concurrency limits have
/// no effect. Without admission control, an overload of the whole fleet would never end.
#[test]
fn overloaded_fleet_is_sent_little_until_it_recovers() {
    let mut harness = sparse_harness(4, 50);
    serve_with_outcomes(&mut harness, 60, 2.0 * LATENCY_OBJECTIVE_MS, |_| Outcome::TimedOut);

    let sent = harness.submit_burst(200);
    assert!((1..40).contains(&sent.len()), "{} of 200 sent to an overloaded fleet", sent.len());
    harness.advance_ms(1000.0);
    for request in sent {
        harness.end_attempt(request.id, FIRST_ATTEMPT, Outcome::TimedOut, 1000.0);
    }
    serve_sent_requests(&mut harness, 1000);

    let is_next_rejected = |_: &u32| {
        let request = harness.submit_request();
        is_rejected(&harness.actions, request.id)
    };
    let rejection_count = (0..50).filter(is_next_rejected).count();
    assert!(rejection_count < 10, "{rejection_count} of 50 rejected after the recovery");
}

/// Submits requests one after the other. Each request that is sent immediately succeeds after 20 ms.
fn serve_sent_requests(harness: &mut Harness, request_count: u32) {
    for _ in 0..request_count {
        let request = harness.submit_request();
        if request.is_sent() {
            harness.advance_ms(20.0);
            harness.succeed(request.id, 20.0);
        }
    }
}

/// Occasional rejections show that some servers can queue only a few requests, not that the fleet is
/// overloaded. The rejected requests are retried at other servers. In this test a fifth of the servers reject
/// all attempts.
#[test]
fn single_rejections_do_not_lower_admission() {
    let mut harness = sparse_harness(5, 50);
    serve_with_outcomes(&mut harness, 200, 20.0, |server| match server.0 {
        0..10 => Outcome::Rejected,
        _ => Outcome::Success,
    });

    let sent_count = harness.submit_burst(100).len();

    assert!(sent_count > 90, "{sent_count} of 100 sent");
}

/// Frequent rejections are the first sign of an overload and come seconds before late responses. If only the
/// second rejection of the same request counted, admission would be lowered too late to keep the servers
/// fast.
#[test]
fn frequent_rejections_lower_admission() {
    let mut harness = sparse_harness(8, 50);
    let attempt_count = Cell::new(0);
    serve_with_outcomes(&mut harness, 300, 20.0, |_| {
        attempt_count.set(attempt_count.get() + 1);
        match attempt_count.get() % 5 {
            0 | 2 => Outcome::Rejected,
            _ => Outcome::Success,
        }
    });

    let sent_count = harness.submit_burst(100).len();

    assert!((5..60).contains(&sent_count), "{sent_count} of 100 sent");
}

/// A server that takes half the latency objective holds several requests per core and is about to become slow
/// for a long time. If only responses after the objective counted, the admission probability would settle at
/// a value at which such servers never recover.
#[test]
fn responses_slower_than_half_the_objective_signal_overload() {
    let mut harness = sparse_harness(14, 50);
    serve_successfully(&mut harness, 100, 0.6 * LATENCY_OBJECTIVE_MS);

    let sent_count = harness.submit_burst(100).len();

    assert!(sent_count < 40, "{sent_count} of 100 sent to slow servers");
}

/// If an attempt counted as slow only when its response arrives, an overload would grow until then.
#[test]
fn attempt_counts_as_slow_after_half_the_latency_objective() {
    let mut harness = sparse_harness(15, 50);

    let sent_before = harness.submit_burst(100).len();
    harness.advance_ms(0.8 * LATENCY_OBJECTIVE_MS);
    let sent_after = harness.submit_burst(100).len();

    assert!(sent_before > 90, "{sent_before} of 100 sent before any attempt is slow");
    assert!(sent_after < 70, "{sent_after} of 100 sent while {sent_before} attempts in flight are slow");
}

/// Admission falls as soon as the endpoint list shrinks. Otherwise the remaining servers would be sent the
/// load of the whole fleet until their responses showed the overload, and would stay slow for a long time. A
/// fleet that returns, even after an empty list, is sent as many requests as before.
#[test]
fn admission_falls_as_soon_as_the_fleet_shrinks() {
    let mut harness = sparse_harness(17, 100);
    serve_successfully(&mut harness, 100, 20.0);

    harness.set_endpoints(fleet(40));
    let sent_to_rest = harness.submit_burst(200).len();
    harness.set_endpoints(Vec::new());
    harness.set_endpoints(fleet(100));
    let sent_to_all = harness.submit_burst(200).len();

    assert!(
        (50..110).contains(&sent_to_rest),
        "{sent_to_rest} of 200 sent to the remaining 40 of 100 servers"
    );
    assert!(sent_to_all > 180, "{sent_to_all} of 200 sent after all servers have returned");
}

/// Returns the admitted fraction of the requests of each of two classes with these weights during a partial
/// overload.
fn admitted_fractions(priority_weights: [f64; 2]) -> [f64; 2] {
    let weighted = |priority_weight| RequestClass { priority_weight, ..class(Effect::Idempotent) };
    let settings = Settings {
        classes: priority_weights.map(weighted).to_vec(),
        goal: GoalWeights { overall: 0.8, worst_window: 0.0, worst_class: 0.2, worst_tenant: 0.0 },
        ..sparse_settings()
    };
    let mut harness = Harness::with_endpoints(settings, 19, fleet(50));
    overload_partially(&mut harness);
    // All requests arrive at one moment, so that the admission probability does not change between them.
    let mut sent_by_class = [0, 0];
    for number in 0..2000 {
        let class = number % 2;
        let request = harness.submit_request_of(ClassId(class));
        sent_by_class[class] += u32::from(request.is_sent());
    }
    sent_by_class.map(|count| f64::from(count) / 1000.0)
}

/// Submits requests of two classes in turn. Two of every seven requests get a slow response.
fn overload_partially(harness: &mut Harness) {
    for number in 0..600 {
        let request = harness.submit_request_of(ClassId(number % 2));
        let elapsed_ms = if number % 7 < 2 { 0.6 * LATENCY_OBJECTIVE_MS } else { 20.0 };
        harness.advance_ms(elapsed_ms);
        if request.is_sent() {
            harness.succeed(request.id, elapsed_ms);
        }
    }
}

/// Asserts that the admitted fractions of two classes are those of a partial overload.
fn assert_partially_overloaded([first, second]: [f64; 2]) {
    let average = 0.5 * (first + second);
    assert!((0.2..0.9).contains(&average), "no partial overload: {first:.2} and {second:.2} admitted");
}

/// If the admission probability were the same for all classes, an overload would reject as many requests of
/// the most valuable class as of the others.
#[test]
fn class_that_costs_the_goal_least_is_shed_first() {
    let [low, high] = admitted_fractions([10.0, 30.0]);
    assert_partially_overloaded([low, high]);
    assert!(
        high > 1.4 * low,
        "{low:.2} admitted of one class, {high:.2} of the class with three times its weight"
    );
    assert!(low > 0.2 * (low + high), "{low:.2} and {high:.2} admitted: the first class is starved");

    let [first, second] = admitted_fractions([10.0, 10.0]);
    assert_partially_overloaded([first, second]);
    let ratio = second / first;
    assert!((0.85..1.15).contains(&ratio), "{first:.2} and {second:.2} admitted of classes of equal weight");
}

/// Returns settings for a service with twenty balancers.
fn twenty_balancer_settings() -> Settings {
    Settings { balancer_count: 20, ..six_attempt_settings() }
}

/// Advances the clock by `elapsed_ms` and ends the requests with success after this time.
fn succeed_all(harness: &mut Harness, requests: &[RequestId], elapsed_ms: f64) {
    harness.advance_ms(elapsed_ms);
    for id in requests {
        harness.succeed(*id, elapsed_ms);
    }
}

/// A balancer with little traffic gets few responses from each server. With concurrency limits alone, without
/// an admission probability for the whole fleet, it would need half a minute of late responses to end an
/// overload of the fleet.
#[test]
fn round_of_late_responses_from_the_whole_fleet_halves_sends() {
    let mut harness = Harness::with_endpoints(twenty_balancer_settings(), 1, fleet(24));

    let before = harness.fill_servers().sent;
    succeed_all(&mut harness, &before, 250.0);
    harness.advance_ms(250.0);
    let after_late_responses = harness.fill_servers().sent;
    succeed_all(&mut harness, &after_late_responses, 20.0);
    for _ in 0..500 {
        harness.submit_and_succeed(20.0);
    }
    let after_quick_responses = harness.fill_servers().sent;

    let [before, late, quick] = [before, after_late_responses, after_quick_responses].map(|sent| sent.len());
    assert!(late * 2 < before, "{late} sent after late responses, {before} before");
    assert!(quick * 3 > before, "{quick} sent after quick responses, {before} before");
}

/// A concurrency limit below one is enforced by a delay after each attempt, which follows from the present
/// limit. If the delay were fixed when the attempt ends, servers could be left without a request for up to
/// 47 s after an overload.
#[test]
fn late_response_at_low_admission_leaves_no_server_unused_after_recovery() {
    let mut harness = Harness::with_endpoints(twenty_balancer_settings(), 1, fleet(2));
    for _ in 0..30 {
        harness.submit_and_succeed(190.0);
        harness.advance_ms(2000.0);
    }

    let mut used_servers = BTreeSet::new();
    for _ in 0..150 {
        used_servers.extend(harness.submit_and_succeed(5.0));
        harness.advance_ms(45.0);
    }

    assert_eq!(used_servers.len(), 2, "both servers are in use again within 8 s");
}
