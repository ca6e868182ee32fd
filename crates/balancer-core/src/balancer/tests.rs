//! Tests that a balancer drops the records of removed servers and does not attribute them to later servers.

use super::*;
use crate::{
    AttemptNumber, ClassId, Endpoint, EndpointStatus, EndpointUpdate, MachineKindId, Outcome, Request,
    RoutingKey, ServerId, Span, ZoneId,
};

/// Returns an endpoint with a zone and a machine kind that no other endpoint has.
fn endpoint(id: u32, status: EndpointStatus) -> Endpoint {
    let (zone, machine_kind) = (ZoneId(id), MachineKindId(id));
    Endpoint { zone, machine_kind, status, ..Endpoint::serving(ServerId(id)) }
}

/// Handles a new request with a unique routing key and returns the server that it is sent to.
fn send_request(balancer: &mut Balancer, now: Time, id: u64) -> ServerId {
    let mut request = Request::new(RequestId(id), ClassId(0), Span::from_millis(900));
    request.routing_key = Some(RoutingKey(id));
    let mut actions = Vec::new();
    balancer.handle(now, Event::Request(request), &mut actions);
    let target = actions.iter().find_map(|action| match action {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    });
    target.expect("the request is sent")
}

/// Ends the first attempt of a request with a success.
fn succeed(balancer: &mut Balancer, now: Time, id: u64, is_request_finished: bool) {
    let event = Event::AttemptEnded {
        request: RequestId(id),
        attempt: AttemptNumber(0),
        outcome: Outcome::Success,
        elapsed: Span::from_millis(20),
        load_report: None,
        is_request_finished,
    };
    balancer.handle(now, event, &mut Vec::new());
}

/// Applies changed entries of the endpoint list.
fn change_endpoints(balancer: &mut Balancer, now: Time, endpoints: Vec<Endpoint>) {
    let event = Event::Endpoints(EndpointUpdate::Changes(endpoints));
    balancer.handle(now, event, &mut Vec::new());
}

/// Adds server `id` and removes server `id - 1`.
fn replace_server(balancer: &mut Balancer, now: Time, id: u32) {
    let added = endpoint(id, EndpointStatus::Serving);
    let removed = endpoint(id - 1, EndpointStatus::Removed);
    change_endpoints(balancer, now, vec![added, removed]);
}

/// Replaces the only server thousands of times, each time with a new id, zone and machine kind. Records that
/// are kept for removed servers would grow without bound.
#[test]
fn removed_servers_leave_no_records() {
    let settings = Settings { has_key_affinity: true, ..Settings::default() };
    let mut balancer = Balancer::new(settings, 1).expect("valid settings");
    let mut now = Time::from_millis(1000);
    change_endpoints(&mut balancer, now, vec![endpoint(0, EndpointStatus::Serving)]);

    for id in 1..5000 {
        now = now + Span::from_millis(1000);
        replace_server(&mut balancer, now, id);
        assert_eq!(send_request(&mut balancer, now, id.into()), ServerId(id));
        succeed(&mut balancer, now + Span::from_millis(20), id.into(), true);
    }

    let mut sizes = balancer.fleet.sizes().to_vec();
    sizes.extend([
        balancer.router.key_count(),
        balancer.suspicion.failed_link_count(),
        balancer.latency.machine_kind_count(),
        balancer.requests.len(),
        balancer.in_flight.len(),
    ]);
    assert!(sizes.iter().all(|size| *size <= 20), "{sizes:?}");
}

/// Ends an attempt long after its server was removed and others were added. The record of the server must be
/// kept until then; otherwise the outcome would be counted for a later server in the same position.
#[test]
fn late_outcome_is_not_counted_for_a_new_server() {
    let mut balancer = Balancer::new(Settings::default(), 1).expect("valid settings");
    let mut now = Time::from_millis(1000);
    change_endpoints(&mut balancer, now, vec![endpoint(0, EndpointStatus::Serving)]);
    assert_eq!(send_request(&mut balancer, now, 7), ServerId(0));
    change_endpoints(&mut balancer, now, vec![endpoint(0, EndpointStatus::Removed)]);
    for id in 1..30 {
        now = now + Span::from_millis(5000);
        replace_server(&mut balancer, now, id);
    }
    assert!(balancer.fleet.find(ServerId(0)).is_some(), "an attempt is in flight");

    succeed(&mut balancer, now, 7, false);

    assert!(balancer.fleet.all_states().all(|server| server.in_flight == 0));
    let newest = &balancer.fleet[balancer.fleet.find(ServerId(29)).expect("the server is listed")];
    assert_eq!((newest.latency.sample_count(), newest.endpoint.server), (0, ServerId(29)));
}
