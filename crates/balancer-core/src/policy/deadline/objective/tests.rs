//! Tests of how much of the latency objective a request has left.

use super::*;
use crate::{ClassId, RequestClass, RequestId};

const OBJECTIVE: Span = Span::from_millis(200);
const CLASS_TIMEOUT: Span = Span::from_millis(800);

/// Returns what a request has left after 100 requests with a timeout of 700 ms.
fn objective_left(clients_mark_retries: bool, time_left: Span, is_client_retry: bool) -> Span {
    let class =
        RequestClass { latency_objective: OBJECTIVE, timeout: CLASS_TIMEOUT, ..RequestClass::default() };
    let settings = Settings { classes: vec![class], clients_mark_retries, ..Settings::default() };
    let mut tracker = ObjectiveTracker::new(1);
    for number in 0..100 {
        let request = Request::new(RequestId(number), ClassId(0), Span::from_millis(700));
        tracker.objective_left(&settings, &request);
    }
    let request = Request::new(RequestId(100), ClassId(0), time_left);
    tracker.objective_left(&settings, &Request { is_client_retry, ..request })
}

#[test]
fn the_mark_decides_where_clients_mark_their_retries() {
    assert_eq!(objective_left(true, Span::from_millis(640), false), OBJECTIVE);
    assert_eq!(objective_left(true, Span::from_millis(640), true), Span::from_millis(40));
    assert_eq!(objective_left(true, Span::from_millis(700), true), Span::from_millis(100));
}

#[test]
fn the_timeout_decides_where_clients_mark_nothing() {
    assert_eq!(objective_left(false, Span::from_millis(700), false), OBJECTIVE);
    assert_eq!(objective_left(false, Span::from_millis(750), false), OBJECTIVE);
    assert_eq!(objective_left(false, Span::from_millis(640), false), Span::from_millis(40));
}
