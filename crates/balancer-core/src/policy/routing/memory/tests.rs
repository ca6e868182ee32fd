//! Tests of the remembered servers and routing keys.

use super::*;
use crate::policy::fleet::ServerRegistry;
use crate::{Endpoint, ServerId, Time};

/// Returns the indices of three servers.
fn three_servers() -> [ServerIndex; 3] {
    let mut registry = ServerRegistry::new();
    let ids = [0, 1, 2].map(ServerId);
    registry.update(Time::EPOCH, ids.map(Endpoint::serving).to_vec(), true);
    ids.map(|id| registry.find(id).expect("just added"))
}

#[test]
fn chosen_server_comes_first_and_only_once() {
    let [first, second, third] = three_servers();
    let mut memory = ServerMemory::default();

    for server in [first, second, third, first] {
        memory.remember(server, 4);
    }

    assert_eq!(memory.servers(), [first, third, second]);
}

#[test]
fn least_recently_chosen_server_is_forgotten() {
    let [first, second, third] = three_servers();
    let mut memory = ServerMemory::default();

    assert_eq!(memory.remember(first, 2), []);
    assert_eq!(memory.remember(second, 2), []);
    assert_eq!(memory.remember(third, 2), [first]);

    assert_eq!(memory.servers(), [third, second]);
    assert!(!memory.contains(first));
}

#[test]
fn forgotten_server_keeps_its_routing_keys() {
    let [server, ..] = three_servers();
    let mut memory = ServerMemory::default();
    memory.remember(server, 2);
    memory.remember_key(RoutingKey(7), server);

    memory.forget(server);

    assert!(!memory.contains(server));
    assert_eq!(memory.server_of_key(RoutingKey(7)), Some(server));
}

#[test]
fn server_is_forgotten_with_its_routing_keys_only() {
    let [removed, kept, _] = three_servers();
    let mut memory = ServerMemory::default();
    memory.remember(removed, 2);
    memory.remember_key(RoutingKey(7), removed);
    memory.remember_key(RoutingKey(8), kept);

    memory.forget_with_keys(removed);

    assert!(!memory.contains(removed));
    assert_eq!(memory.server_of_key(RoutingKey(7)), None);
    assert_eq!(memory.server_of_key(RoutingKey(8)), Some(kept));
}

#[test]
fn at_most_ten_thousand_routing_keys_are_remembered() {
    let [server, ..] = three_servers();
    let mut memory = ServerMemory::default();
    for key in 0..10_000 {
        memory.remember_key(RoutingKey(key), server);
    }
    assert_eq!(memory.key_count(), 10_000);

    memory.remember_key(RoutingKey(10_000), server);

    assert_eq!(memory.key_count(), 1);
    assert_eq!(memory.server_of_key(RoutingKey(10_000)), Some(server));
}
