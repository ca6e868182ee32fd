//! What a balancer keeps: nothing of servers that have left, and nothing that a later server would inherit.

use super::*;
use crate::{AttemptNumber, ClassId, Endpoint, EndpointStatus, MachineKindId, Request, RoutingKey, ZoneId};

fn endpoint(id: u32, status: EndpointStatus) -> Endpoint {
    let (zone, machine_kind) = (ZoneId(id), MachineKindId(id));
    Endpoint { zone, machine_kind, status, ..Endpoint::serving(ServerId(id)) }
}

fn request(balancer: &mut Balancer, now: Time, id: u64) -> ServerId {
    let mut out = Vec::new();
    let mut request = Request::new(RequestId(id), ClassId(0), Span::from_ms(900.0));
    request.routing_key = Some(RoutingKey(id));
    balancer.handle(now, Event::Request(request), &mut out);
    let sent =
        out.iter().find_map(|a| if let Action::Send { server, .. } = a { Some(*server) } else { None });
    sent.expect("it is sent")
}

fn answer(balancer: &mut Balancer, now: Time, id: u64, closed: bool) {
    let (request, attempt, elapsed) = (RequestId(id), AttemptNumber(0), Span::from_ms(20.0));
    let outcome = Outcome::Success;
    let event = Event::AttemptEnded {
        request,
        attempt,
        outcome,
        elapsed,
        load_report: None,
        is_request_finished: closed,
    };
    balancer.handle(now, event, &mut Vec::new());
}

fn changes(balancer: &mut Balancer, now: Time, lines: Vec<Endpoint>) {
    balancer.handle(now, Event::Endpoints(EndpointUpdate::Changes(lines)), &mut Vec::new());
}

/// A fleet whose servers are replaced for good, under ever new ids, zones and kinds.
#[test]
fn servers_that_have_left_leave_nothing_behind() {
    let settings = Settings { has_key_affinity: true, ..Settings::default() };
    let mut balancer = Balancer::new(settings, 1).expect("settings");
    let mut now = Time::from_ms(1000.0);
    changes(&mut balancer, now, vec![endpoint(0, EndpointStatus::Serving)]);
    for id in 1..5000 {
        now = now + Span::from_ms(1000.0);
        changes(
            &mut balancer,
            now,
            vec![endpoint(id, EndpointStatus::Serving), endpoint(id - 1, EndpointStatus::Removed)],
        );
        assert_eq!(request(&mut balancer, now, id.into()), ServerId(id));
        answer(&mut balancer, now + Span::from_ms(20.0), id.into(), true);
    }
    let mut sizes = balancer.registry.sizes().to_vec();
    sizes.extend([
        balancer.memory.key_count(),
        balancer.zone_links.len(),
        balancer.latency.machine_kind_count(),
        balancer.requests.len(),
        balancer.in_flight.len(),
    ]);
    assert!(sizes.iter().all(|size| *size <= 20), "{sizes:?}");
}

/// An attempt that outlives its server keeps its place; its late outcome is not another server's.
#[test]
fn a_late_outcome_is_not_counted_for_a_newcomer() {
    let mut balancer = Balancer::new(Settings::default(), 1).expect("settings");
    let mut now = Time::from_ms(1000.0);
    changes(&mut balancer, now, vec![endpoint(0, EndpointStatus::Serving)]);
    assert_eq!(request(&mut balancer, now, 7), ServerId(0));
    changes(&mut balancer, now, vec![endpoint(0, EndpointStatus::Removed)]);
    for id in 1..30 {
        now = now + Span::from_ms(5000.0);
        changes(
            &mut balancer,
            now,
            vec![endpoint(id, EndpointStatus::Serving), endpoint(id - 1, EndpointStatus::Removed)],
        );
    }
    assert!(balancer.registry.find(ServerId(0)).is_some(), "an attempt is out there");
    answer(&mut balancer, now, 7, false);
    assert!(balancer.registry.all_states().all(|server| server.in_flight == 0));
    let newcomer = &balancer.registry[balancer.registry.find(ServerId(29)).expect("it is listed")];
    assert_eq!((newcomer.latency.samples, newcomer.endpoint.server), (0, ServerId(29)));
}
