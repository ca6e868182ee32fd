//! Tests of the final response to each request and of the attempts of closed requests.

use super::*;
use balancer_core::{AttemptNumber, ClassId};
use bytes::Bytes;
use hyper::{HeaderMap, Method, Uri};

fn request() -> Rc<ClientRequest> {
    Rc::new(ClientRequest {
        method: Method::GET,
        uri: Uri::from_static("/read"),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        class: ClassId(0),
        tenant: None,
        routing_key: None,
        cost_hint: None,
        is_client_retry: false,
        deadline: Instant::now(),
        id_claim: None,
    })
}

fn status_of(mut submitted: SubmittedRequest) -> StatusCode {
    match submitted.response.try_recv().expect("a response") {
        FinalResponse::Failed(status) => status,
        FinalResponse::Served(_) | FinalResponse::Rejected { .. } => panic!("the request did not fail"),
    }
}

#[test]
fn attempts_are_numbered_in_the_order_of_their_starts() {
    let mut tracker = RequestTracker::default();
    let submitted = tracker.open(request());

    for number in 0..3 {
        let attempt = tracker.start_attempt(submitted.id, None).expect("the request is pending");
        assert_eq!(attempt.id, AttemptId { request: submitted.id, attempt: AttemptNumber(number) });
    }
}

#[test]
fn the_status_of_a_failure_states_whether_the_last_attempt_timed_out() {
    for (outcome, status) in [
        (Outcome::TimedOut, StatusCode::GATEWAY_TIMEOUT),
        (Outcome::ConnectionReset, StatusCode::BAD_GATEWAY),
    ] {
        let mut tracker = RequestTracker::default();
        let submitted = tracker.open(request());
        let attempt = tracker.start_attempt(submitted.id, None).expect("the request is pending");
        tracker.end_attempt(attempt.id, outcome, None);

        tracker.fail(submitted.id);

        assert_eq!(status_of(submitted), status, "{outcome:?}");
    }
}

#[test]
fn a_closed_request_gets_no_second_response_and_no_other_attempt() {
    let mut tracker = RequestTracker::default();
    let submitted = tracker.open(request());
    let id = submitted.id;
    tracker.fail(id);

    tracker.reject(id, None);

    assert!(!tracker.is_pending(id));
    assert!(!tracker.disconnect(id));
    assert!(tracker.start_attempt(id, None).is_none());
    assert_eq!(status_of(submitted), StatusCode::BAD_GATEWAY);
}

#[test]
fn closing_a_request_cancels_its_unwritten_attempts_and_no_others() {
    let mut tracker = RequestTracker::default();
    let closed = tracker.open(request());
    let other = tracker.open(request());
    let unwritten = tracker.start_attempt(closed.id, None).expect("the request is pending");
    let unrelated = tracker.start_attempt(other.id, None).expect("the request is pending");

    assert!(tracker.disconnect(closed.id));

    assert!(unwritten.progress.is_cancelled());
    assert!(!unrelated.progress.is_cancelled());
}
