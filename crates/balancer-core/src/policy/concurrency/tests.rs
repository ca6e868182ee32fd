//! Tests of the bounds of a server's concurrency limit, and of when the limit allows one more request.

use super::*;

const NOW: Time = Time::from_millis(1_000);
const MIN_LIMIT: f64 = 0.05;
const OBJECTIVE: Span = Span::from_millis(100);
const UNSCALED: LimitScale = scale(1.0, 1.0);

const fn scale(admission_probability: f64, capacity_share: f64) -> LimitScale {
    LimitScale {
        admission_probability: Probability::new(admission_probability),
        capacity_share: CapacityShare::new(capacity_share),
    }
}

fn sample(ratio: f64, other_in_flight: u32) -> LatencySample {
    let ratio = LatencyRatio::new(ratio);
    LatencySample { ratio, smoothed_ratio: ratio, other_in_flight }
}

/// Returns whether a limit that is not scaled down allows one more request while `in_flight` others are in
/// flight.
fn allows_another_request(limit: &ConcurrencyLimit, in_flight: u32) -> bool {
    limit.has_capacity(NOW, in_flight, &UNSCALED)
}

fn record_quick_responses(limit: &mut ConcurrencyLimit, count: u32, in_flight: u32) {
    for _ in 0..count {
        limit.record(&sample(0.0, in_flight), MIN_LIMIT);
    }
}

fn record_late_responses(limit: &mut ConcurrencyLimit, count: u32, min_limit: f64) {
    for _ in 0..count {
        limit.record(&sample(1.0, 0), min_limit);
    }
}

#[test]
fn server_that_has_not_responded_is_limited_to_two_requests() {
    let limit = ConcurrencyLimit::new(NOW);

    assert!(allows_another_request(&limit, 1));
    assert!(!allows_another_request(&limit, 2));
}

/// A fully used limit takes about five million responses to reach its maximum.
#[test]
fn limit_grows_to_a_thousand_requests_and_no_further() {
    let mut limit = ConcurrencyLimit::new(NOW);

    record_quick_responses(&mut limit, 5_500_000, 2000);

    assert!(allows_another_request(&limit, 999));
    assert!(!allows_another_request(&limit, 1000));
}

#[test]
fn limit_falls_to_the_given_minimum_and_no_further() {
    for min_limit in [0.05, 0.5] {
        let mut limit = ConcurrencyLimit::new(NOW);

        record_late_responses(&mut limit, 1000, min_limit);
        limit.record_attempt_end(NOW, OBJECTIVE);

        // A limit below one is enforced by a delay after each response.
        let delay_ms = OBJECTIVE.as_millis_f64() * (1.0 / min_limit - 1.0);
        let has_capacity_after = |ms| limit.has_capacity(NOW + Span::from_millis_f64(ms), 0, &UNSCALED);
        assert!(!has_capacity_after(delay_ms - 1.0), "minimum {min_limit}");
        assert!(has_capacity_after(delay_ms + 1.0), "minimum {min_limit}");
    }
}

#[test]
fn limit_that_is_not_fully_used_does_not_grow() {
    let mut limit = ConcurrencyLimit::new(NOW);

    record_quick_responses(&mut limit, 1000, 0);

    assert!(!allows_another_request(&limit, 2));
}

#[test]
fn slow_responses_shrink_the_limit() {
    let mut limit = ConcurrencyLimit::new(NOW);
    record_quick_responses(&mut limit, 1000, 2000);
    assert!(allows_another_request(&limit, 10));

    for _ in 0..100 {
        limit.record(&sample(2.0 * TARGET_RATIO.value(), 0), MIN_LIMIT);
    }

    assert!(!allows_another_request(&limit, 10));
}

#[test]
fn admission_and_capacity_share_scale_the_limit_but_leave_one_request() {
    let mut limit = ConcurrencyLimit::new(NOW);
    record_quick_responses(&mut limit, 1000, 2000);

    assert!(limit.has_capacity(NOW, 6, &scale(0.5, 1.0)));
    assert!(!limit.has_capacity(NOW, 7, &scale(0.5, 1.0)));
    assert!(limit.has_capacity(NOW, 6, &scale(1.0, 0.5)));
    assert!(!limit.has_capacity(NOW, 7, &scale(1.0, 0.5)));
    assert!(limit.has_capacity(NOW, 0, &scale(1.0, 0.001)));
}

#[test]
fn backoff_from_a_full_server_lasts_a_typical_latency() {
    let mut limit = ConcurrencyLimit::new(NOW);

    limit.back_off(NOW, OBJECTIVE, LatencyRatio::new(0.5));

    let backoff_end = NOW + Span::from_millis(50);
    assert!(limit.is_backing_off(backoff_end - Span::from_micros(1)));
    assert!(!limit.has_capacity(backoff_end - Span::from_micros(1), 0, &UNSCALED));
    assert!(!limit.is_backing_off(backoff_end));
    assert!(limit.has_capacity(backoff_end, 0, &UNSCALED));
}
