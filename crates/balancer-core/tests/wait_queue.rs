//! Tests of the wait queue: during an overload, a queued request is sent while its response can still be in
//! time, and is rejected early otherwise.

mod common;

use balancer_core::*;
use common::*;

/// Returns a harness with one idempotent class and this number of servers.
fn harness(server_count: u32) -> Harness {
    Harness::with_endpoints(six_attempt_settings(), 1, fleet(server_count))
}

/// Requests that were sent immediately and requests that were queued, each in the order of arrival.
struct SubmittedRequests {
    sent: Vec<RequestId>,
    queued: Vec<RequestId>,
}

/// Submits `request_count` requests, one per millisecond.
fn submit_requests(harness: &mut Harness, request_count: u32) -> SubmittedRequests {
    let mut submitted = SubmittedRequests { sent: Vec::new(), queued: Vec::new() };
    for _ in 0..request_count {
        harness.advance_ms(1.0);
        let request = harness.submit_request();
        let list = if request.is_sent() { &mut submitted.sent } else { &mut submitted.queued };
        list.push(request.id);
    }
    submitted
}

/// If queued requests were sent in the order of arrival, the response to each of them would be late.
#[test]
fn queued_requests_are_sent_newest_first() {
    let mut harness = harness(1);
    let SubmittedRequests { sent, queued } = submit_requests(&mut harness, 12);
    assert!(!sent.is_empty() && queued.len() > 4);

    harness.succeed(sent[0], 20.0);

    let newest = *queued.last().expect("at least one request is queued");
    assert!(harness.target_of(newest).is_some());
    assert!(harness.target_of(queued[0]).is_none());
}

fn is_rejection(action: &Action) -> bool {
    matches!(action, Action::Reject { .. })
}

#[test]
fn queued_requests_are_rejected_before_their_objective_passes() {
    let mut harness = harness(1);
    let queued_count = submit_requests(&mut harness, 12).queued.len();
    let start = harness.now;
    let objective = Span::from_millis_f64(LATENCY_OBJECTIVE_MS);

    let mut rejection_count = 0;
    while harness.now.since(start) < objective && rejection_count < queued_count {
        let actions = harness.advance_ms(10.0);
        rejection_count += actions.iter().filter(|action| is_rejection(action)).count();
    }

    assert_eq!(rejection_count, queued_count);
    assert!(harness.now.since(start) < objective, "the rejections come in time for the clients to retry");
}
