//! Tests that all servers stay in use, and that every request gets a final response, despite invalid load
//! reports or a jump of the clock.

mod common;

use balancer_core::*;
use common::*;

/// How far the clock jumps forward.
const CLOCK_JUMP: Span = Span::from_secs(3600);

/// Returns settings with which servers report their number of requests in flight.
fn settings() -> Settings {
    Settings { load_report_fields: vec![LoadReportField::InFlight], ..idempotent_settings() }
}

/// Returns the number of requests that are sent to each of four servers if all load reports of server 0 have
/// these values. The other servers report that they have no requests in flight.
fn requests_by_server(report_of_server_0: &[f64]) -> [u32; 4] {
    let mut harness = Harness::with_endpoints(settings(), 3, fleet(4));
    let mut requests_by_server = [0; 4];
    for _ in 0..200 {
        let request = harness.submit_request();
        let server = request.expect_sent();
        requests_by_server[server.0 as usize] += 1;
        harness.advance_ms(20.0);
        let report = if server.0 == 0 { report_of_server_0.to_vec() } else { vec![0.0] };
        let report = Some(LoadReport::new(report));
        harness.end_attempt_with_report(request.id, FIRST_ATTEMPT, Response::success(20.0), report);
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
    assert!(requests[0] > 0, "a report that is not a number is ignored: {requests:?}");
}

#[test]
fn clock_jump_keeps_the_fleet_in_use_and_loses_no_request() {
    let mut harness = Harness::with_endpoints(settings(), 3, fleet(4));
    let in_flight: Vec<SubmittedRequest> = (0..6).map(|_| harness.submit_request()).collect();

    harness.advance_without_timers(CLOCK_JUMP);
    for request in in_flight {
        harness.end_attempt(request.id, FIRST_ATTEMPT, Outcome::TimedOut, 800.0);
    }
    harness.advance_ms(1000.0);

    let is_served = |_: &u32| {
        let request = harness.submit_request();
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
