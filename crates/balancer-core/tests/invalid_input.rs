//! Tests that invalid load reports and a clock that jumps leave the fleet in use and every request answered.

mod common;

use balancer_core::*;
use common::*;

fn settings() -> Settings {
    Settings { load_report_fields: vec![LoadReportField::InFlight], ..idempotent_settings() }
}

/// The number of requests sent to each of four servers, the first of which reports `report_of_first`.
fn requests_by_server(report_of_first: &[f64]) -> [u32; 4] {
    let mut harness = Harness::with_endpoints(settings(), 3, fleet(4, 1, 1));
    let mut requests_by_server = [0; 4];
    for _ in 0..200 {
        let request = harness.send_request(0);
        let server = request.server.expect("an idle fleet takes it");
        requests_by_server[server.0 as usize] += 1;
        harness.advance_ms(20.0);
        let report = if server.0 == 0 { report_of_first.to_vec() } else { vec![0.0] };
        harness.end_attempt_with_report(
            request.id,
            0,
            Response::success(20.0),
            Some(LoadReport::new(report)),
        );
        harness.advance_ms(10.0);
    }
    harness.assert_no_violations();
    requests_by_server
}

#[test]
fn invalid_load_reports_starve_no_server() {
    for report in [vec![], vec![f64::NAN], vec![f64::INFINITY], vec![0.0], vec![-1e300], vec![1e300, 1.0]] {
        let requests = requests_by_server(&report);
        assert!(requests[1..].iter().all(|count| *count > 20), "{report:?}: {requests:?}");
    }

    let requests = requests_by_server(&[f64::NAN]);
    assert!(requests[0] > 0, "a report that is no number is no report: {requests:?}");
}

#[test]
fn clock_jump_keeps_the_fleet_in_use_and_every_request_answered() {
    let mut harness = Harness::with_endpoints(settings(), 3, fleet(4, 1, 1));
    let in_flight: Vec<SubmittedRequest> = (0..6).map(|_| harness.send_request(0)).collect();

    harness.now = harness.now + Span::from_millis(3_600_000);
    for request in in_flight {
        harness.end_attempt(request.id, 0, Outcome::TimedOut, 800.0);
    }
    harness.advance_ms(1000.0);

    let is_served = |_: &u32| {
        let request = harness.send_request(0);
        harness.advance_ms(20.0);
        if request.is_sent() {
            harness.succeed(request.id, 20.0);
        }
        harness.advance_ms(200.0);
        request.is_sent()
    };
    let served_count = (0..40).filter(is_served).count();
    assert!(served_count > 30);
    assert_eq!(harness.lost_request_count(), 0);
}
