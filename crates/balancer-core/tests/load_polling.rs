//! Tests of load polling: in a sparse view, the candidates for a request are polled for their load if
//! health checks are cheap.

mod common;

use balancer_core::*;
use common::*;

/// The only one of ten servers that is warming up.
const WARMING_UP_SERVER: ServerId = ServerId(9);

/// Returns settings for a sparse view in which candidates are polled for their load.
fn polling_settings() -> Settings {
    Settings {
        allows_health_checks: true,
        load_report_source: LoadReportSource::HealthChecks,
        load_report_fields: vec![LoadReportField::Utilisation, LoadReportField::InFlight],
        ..sparse_settings()
    }
}

/// Returns the servers to which the last actions send a health check.
fn polled_servers(harness: &Harness) -> Vec<ServerId> {
    let polled = |action: &Action| match action {
        Action::CheckHealth { server } => Some(*server),
        _ => None,
    };
    harness.actions.iter().filter_map(polled).collect()
}

/// Ends the health check of a server, which reports `in_flight` requests. Returns the server that a request
/// is sent to because of this report.
fn report_load(harness: &mut Harness, server: ServerId, in_flight: f64) -> Option<ServerId> {
    let actions = harness.handle(Event::HealthChecked {
        server,
        outcome: Outcome::Success,
        elapsed: Span::from_millis(1),
        load_report: Some(LoadReport::new(vec![0.5, in_flight])),
    });
    actions.iter().find_map(|action| match action {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    })
}

/// Without load polls, a third of the responses would be late by chance, because a balancer has no requests
/// of its own in flight by which it could compare servers.
#[test]
fn cheap_load_polls_find_the_least_loaded_candidate() {
    let mut harness = Harness::with_endpoints(polling_settings(), 10, fleet(20));
    let request = harness.submit_request();
    assert_eq!(request.server, None, "the request waits for its candidates' load reports");
    let candidates = polled_servers(&harness);
    assert!(candidates.len() >= 2, "{candidates:?}");

    let mut target = None;
    for (position, &server) in candidates.iter().enumerate() {
        let in_flight = if position == 1 { 0.0 } else { 4.0 };
        target = report_load(&mut harness, server, in_flight);
        assert_eq!(
            target.is_some(),
            position + 1 == candidates.len(),
            "the request is sent after the last report"
        );
    }

    assert_eq!(target, Some(candidates[1]));
    harness.assert_no_violations();
}

#[test]
fn silent_poll_candidate_is_neither_awaited_nor_chosen() {
    let mut harness = Harness::with_endpoints(polling_settings(), 11, fleet(20));

    let request = harness.submit_request();
    let candidates = polled_servers(&harness);
    report_load(&mut harness, candidates[0], 3.0);
    let actions = harness.advance_ms(0.06 * LATENCY_OBJECTIVE_MS);
    assert_eq!(find_target(&actions, request.id), Some(candidates[0]));

    let request = harness.submit_request();
    let actions = harness.advance_ms(0.06 * LATENCY_OBJECTIVE_MS);
    assert!(find_target(&actions, request.id).is_some(), "the request is sent even without any report");
}

/// Candidates are not polled in a dense view, or if health checks cost too much or are not allowed, or if
/// load reports contain neither the requests in flight nor the queue length.
#[test]
fn costly_or_useless_load_polls_are_not_sent() {
    let costly = Costs { health_check: 0.01, ..Costs::default() };
    for settings in [
        Settings { costs: costly, ..polling_settings() },
        Settings { load_report_fields: vec![LoadReportField::Utilisation], ..polling_settings() },
        Settings { allows_health_checks: false, ..polling_settings() },
        Settings { balancer_count: 10, ..polling_settings() },
    ] {
        let mut harness = Harness::with_endpoints(settings, 12, fleet(20));

        let request = harness.submit_request();

        assert!(request.is_sent());
        assert!(polled_servers(&harness).is_empty());
    }
}

/// Ends the health checks of all polled servers: the server that is warming up reports no requests in flight,
/// the others report two. Returns the server that a request is sent to because of the reports.
fn report_lowest_load_at_warming_up_server(harness: &mut Harness) -> Option<ServerId> {
    let mut target = None;
    for server in polled_servers(harness) {
        let in_flight = if server == WARMING_UP_SERVER { 0.0 } else { 2.0 };
        target = target.or(report_load(harness, server, in_flight));
    }
    target
}

/// An idle server that is warming up reports the lowest load to all balancers. If only the load counted, all
/// balancers would send their requests to this server at the same time.
#[test]
fn idle_warming_up_server_does_not_attract_requests() {
    for settings in [sparse_settings(), polling_settings()] {
        let mut harness = Harness::new(settings, 13);
        let mut endpoints = fleet(10);
        endpoints[9].started_at = Some(harness.now);
        harness.set_endpoints(endpoints);

        let mut to_warming_up = 0;
        let mut total = 0;
        for _ in 0..400 {
            let request = harness.submit_request();
            let polled_target = report_lowest_load_at_warming_up_server(&mut harness);
            let target = request.server.or(polled_target);
            to_warming_up += u32::from(target.expect("the request was sent") == WARMING_UP_SERVER);
            total += 1;
            harness.succeed(request.id, 20.0);
            harness.advance_ms(2.0);
        }

        assert!(
            to_warming_up <= total / 20,
            "{to_warming_up} of {total} sent to the one of ten that is warming up"
        );
    }
}
