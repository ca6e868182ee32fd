//! Tests of the last known and the expected load of a server.

use super::*;
use crate::Span;

const NOW: Time = Time::from_millis(1_000);
const DECAY_MS: f64 = 100.0;
const MEAN_LOAD: f64 = 2.0;

#[test]
fn load_without_a_report_is_taken_to_be_the_mean() {
    let mut reported = ReportedLoad::default();
    reported.record_send();

    assert_eq!(reported.last_known(), 0.0);
    assert_eq!(reported.expected(NOW, DECAY_MS, MEAN_LOAD), MEAN_LOAD);
}

#[test]
fn sends_since_the_report_are_added_to_it() {
    let mut reported = ReportedLoad::new(5.0, NOW);

    reported.record_send();
    reported.record_send();

    assert_eq!(reported.last_known(), 7.0);
    assert_eq!(reported.expected(NOW, DECAY_MS, MEAN_LOAD), 7.0);
}

#[test]
fn report_loses_its_weight_with_time() {
    let reported = ReportedLoad::new(5.0, NOW);

    let expected = reported.expected(Time::from_millis(1_100), DECAY_MS, MEAN_LOAD);

    let weight = 1.0 / std::f64::consts::E;
    assert!((expected - (MEAN_LOAD + weight * (5.0 - MEAN_LOAD))).abs() < 1e-9, "{expected}");
}

#[test]
fn server_has_a_report_since_the_time_of_its_last_report() {
    assert!(!ReportedLoad::default().has_report_since(Time::EPOCH));

    let reported = ReportedLoad::new(5.0, NOW);
    assert!(reported.has_report_since(NOW));
    assert!(!reported.has_report_since(NOW + Span::from_micros(1)));
}
