//! Tests of how updates of the endpoint list change the registry.

use super::*;
use crate::Outcome;

const SERVER: ServerId = ServerId(1);
const OTHER: ServerId = ServerId(2);
const NOW: Time = Time::from_millis(1_000);

fn endpoint_with_status(server: ServerId, status: EndpointStatus) -> Endpoint {
    Endpoint { status, ..Endpoint::serving(server) }
}

fn registry_with(servers: &[ServerId]) -> ServerRegistry {
    let mut registry = ServerRegistry::new();
    registry.update(NOW, servers.iter().copied().map(Endpoint::serving).collect(), true);
    registry.refresh_serving();
    registry
}

fn index_of(registry: &ServerRegistry, server: ServerId) -> ServerIndex {
    registry.find(server).expect("the server is known")
}

fn record_two_failures(registry: &mut ServerRegistry, index: ServerIndex) {
    for _ in 0..2 {
        registry[index].health.record(NOW, Outcome::ServerError);
    }
}

fn serving_ids(registry: &ServerRegistry) -> Vec<ServerId> {
    registry.serving_states().map(|server| server.endpoint.server).collect()
}

#[test]
fn changes_leave_other_servers_as_they_are() {
    let mut registry = registry_with(&[SERVER, OTHER]);

    registry.update(NOW, vec![endpoint_with_status(SERVER, EndpointStatus::Draining)], false);
    registry.refresh_serving();

    assert_eq!(serving_ids(&registry), [OTHER]);
    assert_eq!(registry[index_of(&registry, SERVER)].removed_at, None);
}

#[test]
fn complete_list_removes_servers_missing_from_it() {
    let mut registry = registry_with(&[SERVER, OTHER]);

    registry.update(NOW, vec![Endpoint::serving(OTHER)], true);
    registry.refresh_serving();

    assert_eq!(serving_ids(&registry), [OTHER]);
    assert_eq!(registry[index_of(&registry, SERVER)].removed_at, Some(NOW));
}

#[test]
fn removal_time_is_kept_until_the_server_is_listed_again() {
    let mut registry = registry_with(&[SERVER]);
    let later = NOW + Span::from_millis(500);

    registry.update(NOW, Vec::new(), true);
    registry.update(later, Vec::new(), true);
    assert_eq!(registry[index_of(&registry, SERVER)].removed_at, Some(NOW));

    registry.update(later, vec![Endpoint::serving(SERVER)], true);
    assert_eq!(registry[index_of(&registry, SERVER)].removed_at, None);
}

#[test]
fn new_process_resets_failures_but_keeps_attempts_in_flight() {
    let mut registry = registry_with(&[SERVER]);
    let index = index_of(&registry, SERVER);
    registry[index].in_flight = 3;
    record_two_failures(&mut registry, index);
    let restarted = Endpoint { started_at: Some(NOW), ..Endpoint::serving(SERVER) };

    assert_eq!(registry.update(NOW, vec![restarted.clone()], false), [index]);
    assert_eq!(registry[index].in_flight, 3);
    assert_eq!(registry[index].health.consecutive_failures(), 0);

    record_two_failures(&mut registry, index);
    assert_eq!(registry.update(NOW, vec![restarted], false), [], "the same process as before");
    assert_eq!(registry[index].health.consecutive_failures(), 2);
}

#[test]
fn removed_servers_expire_after_ten_seconds_without_attempts_in_flight() {
    let mut registry = registry_with(&[SERVER]);
    let index = index_of(&registry, SERVER);
    registry.update(NOW, Vec::new(), true);
    let retained_until = NOW + Span::from_millis(10_000);

    assert_eq!(registry.expired_servers(retained_until - Span::from_micros(1)), []);
    assert_eq!(registry.expired_servers(retained_until), [index]);

    registry[index].in_flight = 1;
    assert_eq!(registry.expired_servers(retained_until), [], "an attempt is in flight");
}

#[test]
fn position_of_a_forgotten_server_is_used_again() {
    let mut registry = registry_with(&[SERVER]);
    let index = index_of(&registry, SERVER);

    registry.forget(index);
    assert_eq!(registry.find(SERVER), None);
    registry.update(NOW, vec![Endpoint::serving(OTHER)], false);

    assert_eq!(registry.find(OTHER), Some(index));
    assert_eq!(registry[index].endpoint.server, OTHER);
}

#[test]
fn view_is_sparse_when_balancers_outnumber_the_peak_of_serving_servers() {
    let mut registry = registry_with(&[SERVER, OTHER]);

    registry.refresh_view(2);
    assert_eq!(registry.view, FleetView::Dense);
    registry.refresh_view(3);
    assert_eq!(registry.view, FleetView::Sparse);

    registry.update(NOW, vec![Endpoint::serving(OTHER)], true);
    registry.refresh_serving();
    registry.refresh_view(2);
    assert_eq!(registry.view, FleetView::Dense, "the view does not become sparse when the fleet shrinks");
}

#[test]
fn zones_and_machine_kinds_are_those_of_known_servers() {
    let mut registry = ServerRegistry::new();
    let endpoint = |server, number| Endpoint {
        zone: ZoneId(number),
        machine_kind: MachineKindId(number + 10),
        ..Endpoint::serving(server)
    };
    registry.update(NOW, vec![endpoint(SERVER, 1), endpoint(OTHER, 2)], true);

    let index = index_of(&registry, SERVER);
    registry.forget(index);

    assert_eq!(registry.zones(), BTreeSet::from([ZoneId(2)]));
    assert_eq!(registry.machine_kinds(), BTreeSet::from([MachineKindId(12)]));
}
