//! Tests of the hash of names, and of the mapping between the names of servers and their ids.

use balancer_core::ServerId;
use balancer_settings::{hash_name, ServerNames};
use std::rc::Rc;

/// Two names whose hashes have the same low 32 bits.
const COLLIDING: [&str; 2] = ["backend_vmmtzp", "backend_jfgnev"];

fn name(text: &str) -> Rc<str> {
    Rc::from(text)
}

#[test]
fn hash_is_fnv1a_of_the_utf8_bytes() {
    // The first three hashes are the published test vectors of 64-bit FNV-1a.
    for (text, expected) in [
        ("", 0xcbf2_9ce4_8422_2325),
        ("a", 0xaf63_dc4c_8601_ec8c),
        ("foobar", 0x8594_4171_f739_67e8),
        ("backend_a", 0x06e3_cd07_d330_92e3),
        ("k:1", 0x3cf2_fa19_35a4_ce13),
        ("žluť", 0x8073_7d57_3927_b06f),
    ] {
        assert_eq!(hash_name(text), expected, "hash of {text:?}");
    }
}

#[test]
fn server_id_is_the_low_half_of_the_hash_at_every_balancer() {
    let mut first = ServerNames::new();
    let mut second = ServerNames::default();
    first.intern(&name("backend_b"));

    let at_first = first.intern(&name("backend_a"));
    let at_second = second.intern(&name("backend_a"));

    assert_eq!(at_first, ServerId(0xd330_92e3));
    assert_eq!(at_second, at_first);
}

#[test]
fn interned_server_is_found_by_name_and_by_id() {
    let mut servers = ServerNames::new();

    let server = servers.intern(&name("backend_a"));

    assert_eq!(servers.intern(&name("backend_a")), server, "interning a name again returns the same id");
    assert_eq!(servers.find("backend_a"), Some(server));
    assert_eq!(servers.name(server).map(|found| &**found), Some("backend_a"));
    assert_eq!(servers.find("backend_b"), None);
    assert_eq!(servers.name(ServerId(server.0.wrapping_add(1))), None);
}

#[test]
fn colliding_name_gets_the_next_free_id() {
    let mut servers = ServerNames::new();
    let first = servers.intern(&name(COLLIDING[0]));

    let second = servers.intern(&name(COLLIDING[1]));

    assert_eq!(hash_name(COLLIDING[0]) as u32, hash_name(COLLIDING[1]) as u32);
    assert_eq!(second, ServerId(first.0.wrapping_add(1)));
    assert_eq!(servers.find(COLLIDING[0]), Some(first));
    assert_eq!(servers.find(COLLIDING[1]), Some(second));
    assert_eq!(servers.name(second).map(|found| &**found), Some(COLLIDING[1]));
}

#[test]
fn id_of_a_forgotten_server_is_free_for_another() {
    let mut servers = ServerNames::new();
    let first = servers.intern(&name(COLLIDING[0]));

    servers.forget(first);
    servers.forget(ServerId(first.0.wrapping_add(1)));

    assert_eq!(servers.find(COLLIDING[0]), None);
    assert_eq!(servers.name(first), None);
    assert_eq!(servers.intern(&name(COLLIDING[1])), first);
}
