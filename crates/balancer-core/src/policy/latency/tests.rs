//! Tests of the latencies of servers, classes and machine kinds.

use super::*;
use crate::test_support::assert_close;
use crate::{RequestClass, Span};

const CLASS: ClassId = ClassId(0);

const KIND: MachineKindId = MachineKindId(1);

/// Recomputes the median from servers with these latency ratios.
fn refresh_median(fleet: &mut FleetLatency, ratios: &[f64]) {
    let servers: Vec<ServerLatency> =
        ratios.iter().map(|&ratio| ServerLatency::from_sample(LatencyRatio::new(ratio))).collect();
    fleet.refresh_median(servers.iter());
}

#[test]
fn relative_slowness_has_a_floor_of_a_twentieth() {
    let mut fleet = FleetLatency::new(1);
    let mut server = ServerLatency::default();

    for _ in 0..1000 {
        fleet.record_success(CLASS, LatencyRatio::new(0.0), &mut server);
        assert!(server.relative_slowness >= 0.05, "{}", server.relative_slowness);
    }

    assert_eq!(server.relative_slowness, 0.05);
}

#[test]
fn relative_slowness_of_single_samples_is_at_most_eight() {
    let mut server = ServerLatency::default();

    for _ in 0..5000 {
        // Each sample is recorded in a new fleet, so that the typical latency of the class does not adapt.
        FleetLatency::new(1).record_success(CLASS, LatencyRatio::new(1e9), &mut server);
        assert!(server.relative_slowness <= 8.0, "{}", server.relative_slowness);
    }

    assert_close(server.relative_slowness, 8.0);
}

#[test]
fn success_moves_the_latency_of_its_class_only() {
    let mut fleet = FleetLatency::new(2);

    fleet.record_success(ClassId(1), LatencyRatio::new(0.7), &mut ServerLatency::default());

    assert_eq!(fleet.current_ratio(CLASS), INITIAL_RATIO);
    assert_close(fleet.classes[1].current_ratio, 0.2 + 0.12 * 0.5);
    assert_close(fleet.classes[1].typical_ratio, 0.2 + 0.01 * 0.5);
}

#[test]
fn first_sample_of_a_server_sets_the_average_and_later_ones_move_it() {
    let mut fleet = FleetLatency::new(1);
    let mut server = ServerLatency::default();

    fleet.record_sample(KIND, LatencyRatio::new(0.5), &mut server);
    assert_eq!((server.ratio, server.sample_count), (0.5, 1));

    fleet.record_sample(KIND, LatencyRatio::new(1.0), &mut server);
    assert_close(server.ratio, 0.5 + 0.12 * 0.5);
    assert_eq!(server.sample_count, 2);
}

#[test]
fn expected_ratio_for_an_unknown_machine_kind_is_the_median() {
    let mut fleet = FleetLatency::new(1);
    refresh_median(&mut fleet, &[0.3, 0.4, 0.9]);

    assert_close(fleet.expected_ratio(KIND, &ServerLatency::default()).value(), 0.4);
}

#[test]
fn expected_ratio_without_samples_is_that_of_the_machine_kind() {
    let mut fleet = FleetLatency::new(1);
    fleet.record_sample(KIND, LatencyRatio::new(0.6), &mut ServerLatency::default());

    // The median, with which the machine kind starts, counts as one sample.
    assert_close(fleet.expected_ratio(KIND, &ServerLatency::default()).value(), 0.4);
}

#[test]
fn samples_of_a_server_outweigh_its_machine_kind_by_two_to_one_at_most() {
    let fleet = FleetLatency::new(1);
    let server = |sample_count| ServerLatency { ratio: 0.8, sample_count, relative_slowness: 1.0 };

    assert_close(fleet.expected_ratio(KIND, &server(4)).value(), 0.5 * 0.2 + 0.5 * 0.8);
    assert_close(fleet.expected_ratio(KIND, &server(8)).value(), (0.2 + 2.0 * 0.8) / 3.0);
    assert_close(fleet.expected_ratio(KIND, &server(500)).value(), (0.2 + 2.0 * 0.8) / 3.0);
}

#[test]
fn expected_ratio_and_median_are_at_least_a_hundredth() {
    let mut fleet = FleetLatency::new(1);

    refresh_median(&mut fleet, &[0.0]);

    assert_eq!(fleet.median_ratio, 0.01);
    let fast = ServerLatency { ratio: 0.0, sample_count: 100, relative_slowness: 1.0 };
    assert_eq!(fleet.expected_ratio(KIND, &fast).value(), 0.01);
}

#[test]
fn median_is_kept_without_samples() {
    let mut fleet = FleetLatency::new(1);
    refresh_median(&mut fleet, &[0.7]);

    refresh_median(&mut fleet, &[]);

    assert_eq!(fleet.median_ratio, 0.7);
}

#[test]
fn typical_latency_is_the_typical_ratio_times_the_objective() {
    let class = RequestClass { latency_objective: Span::from_millis(200), ..RequestClass::default() };
    let settings = Settings { classes: vec![class], ..Settings::default() };

    assert_close(FleetLatency::new(1).typical_latency_ms(&settings, CLASS), 40.0);
}

#[test]
fn typical_latency_is_a_microsecond_at_least() {
    let mut fleet = FleetLatency::new(1);
    fleet.classes[0].typical_ratio = 0.0;

    assert_close(fleet.typical_latency_ms(&Settings::default(), CLASS), 0.001);
}

#[test]
fn slowness_is_relative_to_a_typical_ratio_of_a_thousandth_at_least() {
    let mut fleet = FleetLatency::new(1);
    fleet.classes[0].typical_ratio = 0.0001;
    let mut server = ServerLatency::default();

    fleet.record_success(CLASS, LatencyRatio::new(0.0008), &mut server);

    // The value moves from 1.0 towards 0.0008 / 0.001 by the gain of a typical value.
    assert_close(server.relative_slowness, 1.0 - 0.04 * 0.2);
}

#[test]
fn unknown_machine_kinds_are_forgotten() {
    let mut fleet = FleetLatency::new(1);
    fleet.record_sample(KIND, LatencyRatio::new(0.6), &mut ServerLatency::default());
    fleet.record_sample(MachineKindId(2), LatencyRatio::new(0.6), &mut ServerLatency::default());
    assert_eq!(fleet.machine_kind_count(), 2);

    fleet.retain_machine_kinds(&BTreeSet::from([KIND]));

    assert_eq!(fleet.machine_kind_count(), 1);
    assert_close(
        fleet.expected_ratio(MachineKindId(2), &ServerLatency::default()).value(),
        INITIAL_RATIO.value(),
    );
}
