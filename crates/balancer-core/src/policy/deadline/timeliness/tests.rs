//! Tests of whether a request can still get a response in time, and of the delay advised for retries.

use super::*;
use crate::{Request, RequestClass, RequestId};

const NOW: Time = Time::from_millis(1_000);
const CLASS: ClassId = ClassId(0);

fn settings(late_value: f64) -> Settings {
    let class = RequestClass {
        latency_objective: Span::from_millis(100),
        timeout: Span::from_millis(400),
        late_value,
        ..RequestClass::default()
    };
    Settings { classes: vec![class], ..Settings::default() }
}

/// Creates a request whose objective deadline is `objective_left` milliseconds after [`NOW`].
fn active_request(objective_left: u64) -> ActiveRequest {
    ActiveRequest {
        request: Request::new(RequestId(1), CLASS, Span::from_millis(400)),
        deadline: NOW + Span::from_millis(400),
        objective_deadline: NOW + Span::from_millis(objective_left),
        attempts: Vec::new(),
        is_bound_to_stream: false,
        is_over_share: false,
    }
}

fn with_timeliness<T>(settings: &Settings, check: impl Fn(Timeliness<'_>) -> T) -> T {
    // The initial typical latency is a fifth of the objective: 20 ms.
    let latency = FleetLatency::new(1);
    check(Timeliness { now: NOW, settings, latency: &latency })
}

#[test]
fn seven_tenths_of_the_typical_latency_must_be_left_of_the_objective() {
    let settings = settings(0.0);
    with_timeliness(&settings, |timeliness| {
        assert!(timeliness.is_too_late(&active_request(14)));
        assert!(!timeliness.is_too_late(&active_request(15)));
    });
}

#[test]
fn the_deadline_counts_where_late_responses_have_a_value() {
    let settings = settings(0.5);
    with_timeliness(&settings, |timeliness| assert!(!timeliness.is_too_late(&active_request(0))));
}

#[test]
fn a_queued_request_needs_twice_the_current_latency() {
    let settings = settings(0.5);
    with_timeliness(&settings, |timeliness| {
        assert!(timeliness.has_waited_too_long(&active_request(40)));
        assert!(!timeliness.has_waited_too_long(&active_request(41)));
    });
}

#[test]
fn retry_after_is_a_quarter_of_the_objective_where_settings_allow_it() {
    let mut settings = settings(0.0);
    assert_eq!(retry_after(&settings, CLASS), None);

    settings.sends_retry_after = true;
    assert_eq!(retry_after(&settings, CLASS), Some(Span::from_millis(25)));

    settings.max_retry_after = Span::from_millis(10);
    assert_eq!(retry_after(&settings, CLASS), Some(Span::from_millis(10)));
}
