//! Tests of the capacity share, recent work and relative speed of servers that are warming up.

use super::*;
use crate::test_support::assert_close;
use crate::{ServerId, Span};

const STARTED_AT: Time = Time::from_millis(1_000);

fn capacity_share_at(age_ms: f64, initial_capacity: f64) -> f64 {
    let warm_up_time = Span::from_millis(1000);
    let settings = Settings { initial_capacity, warm_up_time, ..Settings::default() };
    let endpoint = Endpoint { started_at: Some(STARTED_AT), ..Endpoint::serving(ServerId(0)) };
    capacity_share(&settings, &endpoint, STARTED_AT + Span::from_millis_f64(age_ms)).value()
}

#[test]
fn capacity_share_grows_linearly_from_the_initial_capacity() {
    assert_close(capacity_share_at(0.0, 0.2), 0.2);
    assert_close(capacity_share_at(500.0, 0.2), 0.6);
    assert_close(capacity_share_at(999.0, 0.2), 0.9992);
    assert_eq!(capacity_share_at(1000.0, 0.2), 1.0);
}

#[test]
fn capacity_share_is_at_most_one() {
    assert_eq!(capacity_share_at(0.0, 5.0), 1.0);
}

#[test]
fn server_that_started_long_ago_has_its_whole_capacity() {
    let endpoint = Endpoint::serving(ServerId(0));

    assert_eq!(capacity_share(&Settings::default(), &endpoint, Time::EPOCH).value(), 1.0);
}

#[test]
fn warm_work_is_averaged_over_the_warm_servers_and_decays() {
    let mut slow_start = SlowStart::new();
    slow_start.warm_server_count = 4;

    slow_start.record_warm_work(STARTED_AT, 100.0, Work::from_millis_f64(2.0));

    assert_close(slow_start.work_per_warm_server(STARTED_AT), 0.5);
    let later = STARTED_AT + Span::from_millis(100);
    assert_close(slow_start.work_per_warm_server(later), 0.5 / std::f64::consts::E);
}

#[test]
fn warm_work_counts_in_full_while_no_server_is_known_to_be_warm() {
    let mut slow_start = SlowStart::new();

    slow_start.record_warm_work(STARTED_AT, 100.0, Work::from_millis_f64(2.0));

    assert_close(slow_start.work_per_warm_server(STARTED_AT), 2.0);
}

#[test]
fn relative_speed_compares_warm_servers_with_those_warming_up() {
    let mut slow_start = SlowStart::new();
    assert_eq!(slow_start.relative_speed(), 1.0);

    slow_start.record_latency(CapacityShare::FULL, LatencyRatio::new(0.7));
    assert_close(slow_start.relative_speed(), 0.26 / 0.2);

    slow_start.record_latency(CapacityShare::new(0.99), LatencyRatio::new(0.7));
    assert_close(slow_start.relative_speed(), 1.0);
}
