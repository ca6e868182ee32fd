//! Tests of the admission probability.

use super::*;
use crate::policy::latency::FleetLatency;
use crate::test_support::assert_close;
use crate::Settings;
use crate::{ClassId, Request, RequestClass, RequestId, Span, Time};

const QUICK: LatencyRatio = LatencyRatio::new(0.2);
const SLOW: LatencyRatio = LatencyRatio::new(0.5);

fn sparse_control() -> AdmissionControl {
    let mut admission = AdmissionControl::new(1000);
    admission.set_view(FleetView::Sparse);
    admission
}

#[test]
fn a_round_trip_of_slow_attempts_removes_six_tenths() {
    let mut admission = AdmissionControl::new(10);

    admission.record(SLOW, 0);

    assert_close(admission.probability().value(), 0.4);
}

#[test]
fn a_round_trip_of_quick_attempts_gains_a_fifth_of_the_square_root() {
    let mut admission = AdmissionControl::new(10);
    admission.record(SLOW, 0);

    admission.record(QUICK, 0);

    assert_close(admission.probability().value(), 0.4 + 0.2 * 0.4_f64.sqrt());
}

#[test]
fn an_attempt_counts_for_its_fraction_of_the_round_trip() {
    let mut dense = AdmissionControl::new(10);
    dense.record(SLOW, 9);
    assert_close(dense.probability().value(), 1.0 - 0.6 / 10.0);

    let mut sparse = sparse_control();
    sparse.record(SLOW, 0);
    assert_close(sparse.probability().value(), 1.0 - 0.6 / 4.0);
}

#[test]
fn probability_has_a_floor_in_each_view() {
    let mut dense = AdmissionControl::new(10);
    let mut sparse = sparse_control();
    for _ in 0..1000 {
        dense.record(SLOW, 0);
        sparse.record(SLOW, 0);
    }

    assert_eq!(dense.probability().value(), 0.1);
    assert_eq!(sparse.probability().value(), 0.02);
}

#[test]
fn probability_follows_the_capacity_in_a_sparse_view_only() {
    let mut dense = AdmissionControl::new(10);
    let mut sparse = sparse_control();
    for admission in [&mut dense, &mut sparse] {
        admission.update_capacity(10.0);
        admission.update_capacity(5.0);
    }

    assert_eq!(dense.probability().value(), 1.0);
    assert_eq!(sparse.probability().value(), 0.5);
}

#[test]
fn capacity_of_an_empty_list_is_ignored() {
    let mut admission = sparse_control();
    admission.update_capacity(10.0);

    admission.update_capacity(0.0);
    admission.update_capacity(10.0);

    assert_eq!(admission.probability().value(), 1.0);
}

#[test]
fn classes_that_are_shed_first_keep_half_of_the_probability() {
    let mut admission = sparse_control();
    admission.update_capacity(10.0);
    admission.update_capacity(5.0);

    assert_close(admission.probability_for(ShedOrder::First, 0.5), 0.25);
    assert_close(admission.probability_for(ShedOrder::Last, 0.5), 0.75);
    assert_close(admission.probability_for(ShedOrder::First, 0.0), 0.5);
    assert_close(admission.probability_for(ShedOrder::Last, 1.0), 0.5);
}

/// Counts how many of a thousand requests of the only class are admitted at a probability of 0.5.
fn admitted_of_a_thousand(view: FleetView) -> usize {
    let settings = Settings { classes: vec![RequestClass::default()], ..Settings::default() };
    let mut shedder = LoadShedder::new(1, 0);
    shedder.count(Time::EPOCH, &Request::new(RequestId(1), ClassId(0), Span::from_millis(100)));
    shedder.rank_classes(&settings, &FleetLatency::new(1));
    let mut admission = sparse_control();
    admission.update_capacity(10.0);
    admission.update_capacity(5.0);
    admission.set_view(view);
    let mut rng = fastrand::Rng::with_seed(1);
    (0..1000).filter(|_| admission.admits(ShedOrder::First, &shedder, &mut rng)).count()
}

#[test]
fn only_a_sparse_view_rejects_by_probability() {
    assert_eq!(admitted_of_a_thousand(FleetView::Dense), 1000);
    assert!((400..600).contains(&admitted_of_a_thousand(FleetView::Sparse)));
}
