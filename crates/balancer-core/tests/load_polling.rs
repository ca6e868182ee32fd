//! Tests of load polling: in a sparse view, cheap health checks find out the loads of a request's candidates.

mod common;

use balancer_core::*;
use common::*;

/// The server that is warming up, one of ten.
const WARMING_UP: ServerId = ServerId(9);

fn polling_settings() -> Settings {
    Settings {
        allows_health_checks: true,
        load_report_source: LoadReportSource::HealthChecks,
        load_report_fields: vec![LoadReportField::Utilisation, LoadReportField::InFlight],
        ..sparse_settings()
    }
}

/// The servers that the last actions send a health check to.
fn polled_servers(harness: &Harness) -> Vec<ServerId> {
    let polled = |action: &Action| match action {
        Action::CheckHealth { server } => Some(*server),
        _ => None,
    };
    harness.actions.iter().filter_map(polled).collect()
}

/// Ends the poll of a server with its load; returns the server that a request is sent to because of it.
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

/// Without load polls, a third of the answers were late by chance: a balancer had no requests of its own in
/// flight to compare servers by.
#[test]
fn cheap_load_polls_find_the_least_loaded_candidate() {
    let mut harness = Harness::with_endpoints(polling_settings(), 10, fleet(20));
    let request = harness.submit_request();
    assert_eq!(request.server, None, "it waits for its candidates");
    let candidates = polled_servers(&harness);
    assert!(candidates.len() >= 2, "{candidates:?}");

    let mut target = None;
    for (position, &server) in candidates.iter().enumerate() {
        let in_flight = if position == 1 { 0.0 } else { 4.0 };
        target = report_load(&mut harness, server, in_flight);
        assert_eq!(target.is_some(), position + 1 == candidates.len(), "sent with the last report");
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
    assert!(find_target(&actions, request.id).is_some(), "with no report at all it is sent all the same");
}

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

/// Ends all polls, of which only the one of the server that is warming up reports no load; returns the server
/// that a request is sent to because of them.
fn report_lowest_load_at_warming_up_server(harness: &mut Harness) -> Option<ServerId> {
    let mut target = None;
    for server in polled_servers(harness) {
        let in_flight = if server == WARMING_UP { 0.0 } else { 2.0 };
        target = target.or(report_load(harness, server, in_flight));
    }
    target
}

/// An idle server that is warming up would have the lowest load in every poll, at all balancers at once.
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
            to_warming_up += u32::from(target.expect("the request was sent") == WARMING_UP);
            total += 1;
            harness.succeed(request.id, 20.0);
            harness.advance_ms(2.0);
        }

        assert!(to_warming_up <= total / 20, "{to_warming_up} of {total} to one of ten, warming up");
    }
}
