//! Bounds of rules that long plays hardly ever reach.

use crate::state::ServerIndex;
use crate::{
    Balancer, EjectionReason, Endpoint, EndpointUpdate, Event, LoadReport, LoadReportField, Outcome,
    ServerId, Settings, Span, Time, ZoneId,
};

const START: Time = Time(1_000_000);
const SERVER: ServerId = ServerId(1);

/// A balancer that knows one server.
fn balancer_with_server(settings: Settings) -> Balancer {
    let mut balancer = Balancer::new(settings, 1).expect("usable settings");
    let update = EndpointUpdate::Complete(vec![Endpoint::serving(SERVER)]);
    balancer.handle(START, Event::Endpoints(update), &mut Vec::new());
    balancer
}

fn index_of_server(balancer: &Balancer) -> ServerIndex {
    balancer.registry.find(SERVER).expect("it is listed")
}

#[test]
fn a_zone_is_suspected_for_five_seconds_after_two_failed_connects() {
    let mut balancer = balancer_with_server(Settings::default());
    let server = index_of_server(&balancer);
    balancer.record_connect_failure(ZoneId(0));
    assert!(!balancer.is_suspected(server), "after one failure");

    balancer.record_connect_failure(ZoneId(0));

    balancer.now = START + Span::from_millis(4999);
    assert!(balancer.is_suspected(server));
    balancer.now = START + Span::from_millis(5000);
    assert!(!balancer.is_suspected(server));
}

#[test]
fn loads_from_ten_thousand_on_are_not_plausible() {
    let load_report_fields = vec![LoadReportField::InFlight];
    let mut balancer = balancer_with_server(Settings { load_report_fields, ..Settings::default() });
    let server = index_of_server(&balancer);

    balancer.read_load_report(server, &LoadReport::new(vec![9999.0]));
    balancer.read_load_report(server, &LoadReport::new(vec![10_000.0]));

    assert_eq!(balancer.registry[server].reported_load.known(), 9999.0);
}

/// Probes an ejected server in a fleet that answers very quickly; whether the answer ends the ejection.
fn ends_ejection(ratio: f64) -> bool {
    // The only server of a fleet is never ejected, so there is another one.
    let mut balancer = balancer_with_server(Settings::default());
    let others = (2..6).map(|id| Endpoint::serving(ServerId(id))).collect();
    balancer.handle(START, Event::Endpoints(EndpointUpdate::Changes(others)), &mut Vec::new());
    let server = index_of_server(&balancer);
    balancer.latency.median_ratio = 0.01;
    balancer.eject(server, EjectionReason::Failing);
    assert!(balancer.registry[server].health.ejection.is_some());

    balancer.finish_probe(server, Outcome::Success, ratio);

    balancer.registry[server].health.ejection.is_none()
}

#[test]
fn a_probe_is_judged_against_a_median_of_a_tenth_at_least() {
    assert!(ends_ejection(0.29));
    assert!(!ends_ejection(0.31));
}
