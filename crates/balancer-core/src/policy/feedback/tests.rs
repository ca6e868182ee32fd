//! Tests of what an attempt that timed out shows about the load of its server.

use super::*;
use crate::policy::fleet::ServerRegistry;
use crate::{AttemptId, AttemptNumber, ClassId, Endpoint, RequestClass, RequestId, ServerId, Span, Time};

const SENT_AT: Time = Time::from_millis(1_000);

/// Returns the ratio of an attempt of a class with an objective of 100 ms that timed out after `elapsed_ms`.
fn ratio_of_timeout(elapsed_ms: u64, view: FleetView) -> LatencyRatio {
    let class = RequestClass { latency_objective: Span::from_millis(100), ..RequestClass::default() };
    let settings = Settings { classes: vec![class], ..Settings::default() };
    let mut fleet = ServerRegistry::new();
    fleet.update(SENT_AT, vec![Endpoint::serving(ServerId(1))], true);
    let server = fleet.find(ServerId(1)).expect("the server is listed");
    let attempt = InFlightAttempt {
        server,
        class: ClassId(0),
        sent_at: SENT_AT,
        response_progress_at: None,
        is_probe: false,
        is_counted_slow: false,
    };
    let ended = EndedAttempt {
        id: AttemptId { request: RequestId(1), attempt: AttemptNumber(0) },
        outcome: Outcome::TimedOut,
        elapsed: Span::from_millis(elapsed_ms),
        load_report: None,
        is_request_finished: false,
    };
    observed_ratio(&settings, &fleet[server], &attempt, &ended, view)
}

#[test]
fn a_timeout_within_the_target_latency_is_no_sign_of_overload() {
    assert_eq!(ratio_of_timeout(25, FleetView::Sparse), UNINFORMATIVE_RATIO);
}

#[test]
fn a_timeout_beyond_the_target_latency_counts_as_late() {
    assert_eq!(ratio_of_timeout(26, FleetView::Sparse), LATE_RATIO);
    assert_eq!(ratio_of_timeout(500, FleetView::Sparse), LATE_RATIO);
}

#[test]
fn any_timeout_counts_as_late_in_a_dense_view() {
    assert_eq!(ratio_of_timeout(25, FleetView::Dense), LATE_RATIO);
}
