//! Tests of what is known of servers that are warming up.

use super::*;
use crate::{ServerId, Span};

const STARTED_AT: Time = Time(1_000_000);

fn capacity_share_at(age_ms: f64, initial_capacity: f64) -> f64 {
    let warm_up_time = Span::from_millis(1000);
    let settings = Settings { initial_capacity, warm_up_time, ..Settings::default() };
    let endpoint = Endpoint { started_at: Some(STARTED_AT), ..Endpoint::serving(ServerId(0)) };
    WarmUp::capacity_share(&settings, &endpoint, STARTED_AT + Span::from_millis_f64(age_ms))
}

fn assert_close(value: f64, expected: f64) {
    assert!((value - expected).abs() < 1e-9, "{value} instead of {expected}");
}

#[test]
fn capacity_share_grows_evenly_from_the_initial_capacity() {
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

    assert_eq!(WarmUp::capacity_share(&Settings::default(), &endpoint, Time(0)), 1.0);
}

#[test]
fn warm_work_is_averaged_over_the_warm_servers_and_decays() {
    let mut warm_up = WarmUp::new();
    warm_up.warm_servers = 4;

    warm_up.record_warm_work(STARTED_AT, 100.0, 2.0);

    assert_close(warm_up.work_per_warm_server(STARTED_AT), 0.5);
    let later = STARTED_AT + Span::from_millis(100);
    assert_close(warm_up.work_per_warm_server(later), 0.5 / std::f64::consts::E);
}

#[test]
fn warm_work_counts_in_full_while_no_server_is_known_to_be_warm() {
    let mut warm_up = WarmUp::new();

    warm_up.record_warm_work(STARTED_AT, 100.0, 2.0);

    assert_close(warm_up.work_per_warm_server(STARTED_AT), 2.0);
}

#[test]
fn relative_speed_compares_warm_servers_with_those_warming_up() {
    let mut warm_up = WarmUp::new();
    assert_eq!(warm_up.relative_speed(), 1.0);

    warm_up.record_latency(1.0, 0.7);
    assert_close(warm_up.relative_speed(), 0.26 / 0.2);

    warm_up.record_latency(0.99, 0.7);
    assert_close(warm_up.relative_speed(), 1.0);
}
