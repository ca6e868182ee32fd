//! Tests of admission control in a sparse view: what lowers the share of requests that are sent, and what
//! restores it.

mod common;

use balancer_core::*;
use common::*;
use std::cell::Cell;

fn harness(seed: u64, server_count: u32) -> Harness {
    Harness::with_endpoints(sparse_settings(), seed, fleet(server_count, 1, 1))
}

/// An overload of the whole fleet never ended: limits per server bind nothing at one request in many seconds.
#[test]
fn overloaded_fleet_is_sent_little_until_it_recovers() {
    let mut harness = harness(4, 50);
    serve_with_outcomes(&mut harness, 50, 60, 2.0 * OBJECTIVE_MS, |_| Outcome::TimedOut);

    let sent = harness.send_burst(200);
    assert!((1..40).contains(&sent.len()), "{} of 200 sent to an overloaded fleet", sent.len());
    harness.advance_ms(1000.0);
    for request in sent {
        harness.end_attempt(request.id, 0, Outcome::TimedOut, 1000.0);
    }
    for _ in 0..1000 {
        let request = harness.send_request(0);
        if request.is_sent() {
            harness.advance_ms(20.0);
            harness.succeed(request.id, 20.0);
        }
    }

    let is_next_rejected = |_: &u32| {
        let request = harness.send_request(0);
        is_rejected(&harness.actions, request.id)
    };
    let rejection_count = (0..50).filter(is_next_rejected).count();
    assert!(rejection_count < 10, "it opens again");
}

/// A request rejected by a short queue is no sign of overload: it goes elsewhere at once.
#[test]
fn single_rejections_do_not_lower_admission() {
    let mut harness = harness(5, 50);
    serve_with_outcomes(&mut harness, 50, 200, 20.0, |server| match server.0 {
        0..10 => Outcome::Rejected,
        _ => Outcome::Success,
    });

    let sent_count = harness.send_burst(100).len();

    assert!(sent_count > 90, "{sent_count} of 100 sent");
}

/// Full servers are the first sign of overload, seconds before answers are late; heeded only where one
/// request met two of them, it came too late to keep the servers quick.
#[test]
fn frequent_rejections_lower_admission() {
    let mut harness = harness(8, 50);
    let attempt_count = Cell::new(0);
    serve_with_outcomes(&mut harness, 50, 300, 20.0, |_| {
        attempt_count.set(attempt_count.get() + 1);
        match attempt_count.get() % 5 {
            0 | 2 => Outcome::Rejected,
            _ => Outcome::Success,
        }
    });

    let sent_count = harness.send_burst(100).len();

    assert!((5..60).contains(&sent_count), "{sent_count} of 100 sent");
}

/// A server that takes half the objective holds several requests for each core and is about to slow down for
/// long; heeded only from the whole objective on, admission came to rest where slowed servers are never idle
/// enough to recover.
#[test]
fn answers_slower_than_half_the_objective_signal_overload() {
    let mut harness = harness(14, 50);
    serve_well(&mut harness, 50, 100, 0.6 * OBJECTIVE_MS);

    let sent_count = harness.send_burst(100).len();

    assert!(sent_count < 40, "{sent_count} of 100 sent to servers that take long");
}

/// Waiting for the answer itself lets the overload grow for as long.
#[test]
fn attempt_counts_as_slow_after_half_the_latency_objective() {
    let mut harness = harness(15, 50);

    let waiting_count = harness.send_burst(100).len();
    harness.advance_ms(0.8 * OBJECTIVE_MS);
    let sent_count = harness.send_burst(100).len();

    assert!(waiting_count > 90, "{waiting_count} of 100 sent while nothing is known");
    assert!(sent_count < 70, "{sent_count} of 100 sent while as many wait for over half the objective");
}

/// The servers that were left of a fleet were sent all that it had borne, until their answers told of the
/// overload; by then they were slow for long. What comes back, as a whole or from a list that was empty, is
/// sent as much as before.
#[test]
fn shrunken_fleet_is_sent_less_immediately() {
    let mut harness = harness(17, 100);
    serve_well(&mut harness, 100, 100, 20.0);

    harness.set_endpoints(fleet(40, 1, 1));
    let sent_to_rest = harness.send_burst(200).len();
    harness.set_endpoints(Vec::new());
    harness.set_endpoints(fleet(100, 1, 1));
    let sent_to_all = harness.send_burst(200).len();

    assert!((50..110).contains(&sent_to_rest), "{sent_to_rest} of 200 sent to 40 servers, left of 100");
    assert!(sent_to_all > 180, "{sent_to_all} of 200 sent to the fleet that is back");
}

/// The admitted share of the requests of each of two classes, in an overload that is neither over nor
/// complete.
fn admitted_shares(priority_weights: [f64; 2]) -> [f64; 2] {
    let weighted = |priority_weight| RequestClass { priority_weight, ..class(Effect::Idempotent) };
    let settings = Settings {
        classes: priority_weights.map(weighted).to_vec(),
        goal: GoalWeights { overall: 0.8, worst_window: 0.0, worst_class: 0.2, worst_tenant: 0.0 },
        ..sparse_settings()
    };
    let mut harness = Harness::with_endpoints(settings, 19, fleet(50, 1, 1));
    for number in 0..600 {
        let request = harness.send_request(number % 2);
        // Two answers of seven are slow.
        let elapsed_ms = if number % 7 < 2 { 0.6 * OBJECTIVE_MS } else { 20.0 };
        harness.advance_ms(elapsed_ms);
        if request.is_sent() {
            harness.succeed(request.id, elapsed_ms);
        }
    }
    // In one instant, so that nothing is learned meanwhile.
    let mut sent_by_class = [0, 0];
    for number in 0..2000 {
        sent_by_class[number % 2] += u32::from(harness.send_request(number % 2).is_sent());
    }
    sent_by_class.map(|count| f64::from(count) / 1000.0)
}

fn assert_overloaded([first, second]: [f64; 2]) {
    let average = 0.5 * (first + second);
    assert!((0.2..0.9).contains(&average), "{first:.2} and {second:.2}: no overload");
}

/// The admission probability was the same for all classes, so in an overload as much was rejected of what is
/// worth most.
#[test]
fn class_that_costs_the_goal_least_is_shed_first() {
    let [low, high] = admitted_shares([10.0, 30.0]);
    assert_overloaded([low, high]);
    assert!(high > 1.4 * low, "{low:.2} of the one, {high:.2} of the other that is worth thrice as much");
    assert!(low > 0.2 * (low + high), "{low:.2} and {high:.2}: the one is shut out");

    let [first, second] = admitted_shares([10.0, 10.0]);
    assert_overloaded([first, second]);
    let ratio = second / first;
    assert!((0.85..1.15).contains(&ratio), "{first:.2} and {second:.2} of classes that are worth alike");
}
