//! Tests of when a probe to an ejected server is due.

use super::*;

const NOW: Time = Time::from_millis(1_000);

#[test]
fn first_probe_is_due_after_a_quarter_of_a_second() {
    let ejection = Ejection::new(NOW);
    let due_at = NOW + Span::from_millis(250);

    assert!(!ejection.is_probe_due(due_at - Span::from_micros(1), true));
    assert!(ejection.is_probe_due(due_at, true));
}

#[test]
fn non_idempotent_requests_wait_two_intervals_longer() {
    let ejection = Ejection::new(NOW);
    let due_at = NOW + Span::from_millis(750);

    assert!(!ejection.is_probe_due(due_at - Span::from_micros(1), false));
    assert!(ejection.is_probe_due(due_at, false));
}

#[test]
fn only_one_probe_is_in_flight() {
    let mut ejection = Ejection::new(NOW);

    ejection.start_probe();

    assert!(!ejection.is_probe_due(NOW + Span::from_secs(60), true));
}

#[test]
fn interval_doubles_with_each_failed_probe_up_to_four_seconds() {
    let mut ejection = Ejection::new(NOW);
    for interval_ms in [500, 1_000, 2_000, 4_000, 4_000] {
        ejection.start_probe();
        ejection.record_probe_failure(NOW);

        let due_at = NOW + Span::from_millis(interval_ms);
        assert!(!ejection.is_probe_due(due_at - Span::from_micros(1), true), "{interval_ms}");
        assert!(ejection.is_probe_due(due_at, true), "{interval_ms}");
    }
}
