//! Tests of the concurrency limit of a server, which follows the latency and the rejections of the server.

mod common;

use balancer_core::*;
use common::*;
use std::collections::BTreeMap;

/// Submits requests until one is queued, and ends those that are sent with success after `elapsed_ms`.
/// Returns how many were sent immediately.
fn fill_and_succeed(harness: &mut Harness, elapsed_ms: f64) -> usize {
    let FilledServers { sent, unsent: queued } = harness.fill_servers();
    let sent_count = sent.len();
    harness.advance_ms(elapsed_ms);
    let mut target_of_queued = None;
    for id in sent {
        target_of_queued = target_of_queued.or(find_target(harness.succeed(id, elapsed_ms), queued));
    }
    if target_of_queued.is_some() {
        harness.succeed(queued, elapsed_ms);
    }
    harness.advance_ms(250.0);
    sent_count
}

/// A concurrency limit that late responses have lowered, even to 1.5, must be able to grow again.
#[test]
fn late_responses_lower_concurrency_and_quick_responses_restore_it() {
    let mut harness = Harness::with_endpoints(six_attempt_settings(), 1, fleet(2));

    let before = fill_and_succeed(&mut harness, 20.0);
    for _ in 0..10 {
        fill_and_succeed(&mut harness, 210.0);
    }
    let after_late_responses = fill_and_succeed(&mut harness, 210.0);
    for _ in 0..60 {
        fill_and_succeed(&mut harness, 15.0);
    }
    let after_quick_responses = fill_and_succeed(&mut harness, 15.0);

    assert!(after_late_responses < before, "{after_late_responses} after late responses, {before} before");
    assert!(
        after_quick_responses > after_late_responses + 2,
        "{after_quick_responses} after quick responses, {after_late_responses} after late responses"
    );
}

/// If limits grew beyond the number of requests in flight, a burst could fill every server and overload the
/// fleet.
#[test]
fn concurrency_limit_not_in_full_use_does_not_grow() {
    let mut harness = Harness::with_endpoints(six_attempt_settings(), 1, fleet(1));
    for _ in 0..400 {
        let pair = [harness.submit_request(), harness.submit_request()];
        harness.advance_ms(20.0);
        for request in pair {
            harness.succeed(request.id, 20.0);
        }
    }

    let sent_count = harness.submit_burst(20).len();

    assert!((2..=3).contains(&sent_count), "{sent_count} sent at once, but only two were in flight before");
}

/// A fleet of full servers, which reject every attempt.
struct FullServers {
    harness: Harness,
    /// How many attempts were sent.
    send_count: u32,
    /// The number of the next attempt of each request.
    next_attempts: BTreeMap<RequestId, AttemptNumber>,
}

impl FullServers {
    /// Rejects the attempts that these actions send, and all retries that follow the rejections.
    fn reject_all(&mut self, mut pending_actions: Vec<Action>) {
        while let Some(action) = pending_actions.pop() {
            let Action::Send { request, .. } = action else { continue };
            self.send_count += 1;
            let attempt = self.next_attempts.entry(request).or_insert(FIRST_ATTEMPT);
            let actions = self.harness.end_attempt(request, *attempt, Outcome::Rejected, 1.0);
            pending_actions.extend_from_slice(actions);
            attempt.0 += 1;
        }
    }
}

/// A request that a full server has rejected must not be retried at every other server immediately.
#[test]
fn full_servers_are_not_retried_immediately() {
    let harness = Harness::with_endpoints(six_attempt_settings(), 1, fleet(3));
    let mut full_servers = FullServers { harness, send_count: 0, next_attempts: BTreeMap::new() };

    for _ in 0..200 {
        full_servers.harness.submit_request();
        let mut actions = full_servers.harness.actions.clone();
        actions.extend(full_servers.harness.advance_ms(5.0));
        full_servers.reject_all(actions);
    }
    full_servers.harness.advance_ms(300.0);

    let send_count = full_servers.send_count;
    assert!(send_count < 120, "{send_count} attempts for 200 requests to full servers");
    full_servers.harness.assert_no_violations();
}

/// Returns how many of 300 requests one of `balancer_count` balancers sends to a server that responds late.
fn sends_to_late_server(balancer_count: u32) -> u32 {
    let settings = Settings { balancer_count, ..six_attempt_settings() };
    let mut harness = Harness::with_endpoints(settings, 1, fleet(1));
    let mut send_count = 0;
    for _ in 0..300 {
        let request = harness.submit_request();
        harness.advance_ms(250.0);
        if request.is_sent() {
            send_count += 1;
            harness.succeed(request.id, 250.0);
        }
    }
    send_count
}

/// If each balancer had a limit of at least one request, many balancers would overload a server.
#[test]
fn concurrency_limits_fall_below_one_with_many_balancers() {
    let alone = sends_to_late_server(1);
    let among_twenty = sends_to_late_server(20);

    assert!(
        among_twenty * 3 < alone,
        "{among_twenty} sends by one of twenty balancers, {alone} by a single balancer"
    );
}
