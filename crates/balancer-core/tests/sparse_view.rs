//! Tests of routing in a sparse view: how a server is chosen, and which connections are kept.
//!
//! In a sparse view balancers outnumber servers, and a balancer rarely has a request in flight at a given
//! server. The balancer remembers the servers that it chose most recently. These servers are candidates for
//! later requests, and only the connections to them are kept.

mod common;

use balancer_core::*;
use common::*;
use std::collections::BTreeSet;

/// If small servers were sent as many requests as large ones, the small servers would be overloaded first.
#[test]
fn load_follows_endpoint_weight() {
    let settings = Settings { endpoint_weights: EndpointWeights::Size, ..sparse_settings() };
    let mut endpoints = fleet(20);
    endpoints[..10].iter_mut().for_each(|endpoint| endpoint.weight = 3.0);
    let mut harness = Harness::with_endpoints(settings, 1, endpoints);

    let attempts = serve_successfully(&mut harness, 3000, 20.0);

    let large: u32 = attempts[..10].iter().sum();
    let small: u32 = attempts[10..].iter().sum();
    let ratio = f64::from(large) / f64::from(small);
    assert!((2.3..3.7).contains(&ratio), "large servers were sent {ratio:.2} times as many requests");
}

/// Machines of equal weight can differ in speed. The latency of all servers of a machine kind together shows
/// the difference sooner than the latency of a single server.
#[test]
fn load_follows_the_latency_of_a_machine_kind() {
    let mut endpoints = fleet(100);
    for endpoint in &mut endpoints {
        endpoint.machine_kind = MachineKindId(endpoint.server.0 % 2);
    }
    let mut harness = Harness::with_endpoints(sparse_settings(), 2, endpoints);

    let mut requests_by_kind = [0, 0];
    for _ in 0..600 {
        let request = harness.submit_request();
        let kind = (request.expect_sent().0 % 2) as usize;
        requests_by_kind[kind] += 1;
        let elapsed_ms = [30.0, 90.0][kind];
        harness.advance_ms(elapsed_ms);
        harness.succeed(request.id, elapsed_ms);
    }

    let [fast, slow] = requests_by_kind;
    assert!(fast > 2 * slow, "requests to the fast and the slow kind: {requests_by_kind:?}");
    assert!(slow > 5, "the slow kind is still used: {requests_by_kind:?}");
}

/// How connections were used while requests were sent.
#[derive(Default)]
struct ConnectionUse {
    /// The number of requests sent over a kept connection.
    reused_count: u32,
    /// The largest number of connections that were kept at the same time.
    max_kept: usize,
    /// The servers that requests were sent to.
    used_servers: BTreeSet<ServerId>,
}

/// Sends requests one after the other, and records which connections are kept.
fn record_connections(harness: &mut Harness, request_count: u32) -> ConnectionUse {
    let mut connections = ConnectionUse::default();
    let mut kept = BTreeSet::new();
    for _ in 0..request_count {
        let request = harness.submit_request();
        let server = request.expect_sent();
        connections.reused_count += u32::from(!kept.insert(server));
        connections.used_servers.insert(server);
        let mut actions = harness.actions.clone();
        harness.advance_ms(20.0);
        actions.extend_from_slice(harness.succeed(request.id, 20.0));
        for action in actions {
            if let Action::CloseIdle { server } = action {
                kept.remove(&server);
            }
        }
        assert!(kept.contains(&server), "the connection to the last chosen server is kept");
        connections.max_kept = connections.max_kept.max(kept.len());
    }
    connections
}

/// If connections to servers that are not remembered were kept too, each balancer would come to keep a
/// connection to each server, and the servers would exceed their connection limits.
#[test]
fn only_remembered_servers_keep_their_connections() {
    let mut harness = Harness::with_endpoints(sparse_settings(), 3, fleet(20));

    let connections = record_connections(&mut harness, 200);

    let max_kept = connections.max_kept;
    assert!(max_kept <= 6, "{max_kept} connections kept, but only six servers are remembered");
}

/// If nearly every request opened a connection, the handshakes of all balancers would overload the servers.
#[test]
fn costly_handshakes_make_most_requests_reuse_connections() {
    let costs = Costs { handshake: 0.08, ..Settings::default().costs };
    let settings = Settings { costs, ..sparse_settings() };
    let mut harness = Harness::with_endpoints(settings, 7, fleet(100));

    let connections = record_connections(&mut harness, 500);

    let reused_count = connections.reused_count;
    assert!((300..450).contains(&reused_count), "{reused_count} of 500 reused a connection");
    let used_count = connections.used_servers.len();
    assert!(used_count > 50, "candidates still come from the whole fleet: {used_count} of 100 servers used");
}

/// A server that is slower than the others is forgotten, but not if all servers are slow.
///
/// A server that is slowed by a noisy neighbour has no more of the balancer's requests in flight than other
/// servers. If the server stayed remembered, it would be sent more requests than its capacity allows. If all
/// slow servers were forgotten while all servers are slow, every request would open a connection.
#[test]
fn relatively_slow_server_is_not_remembered() {
    const SLOW_SERVER: ServerId = ServerId(3);
    const SLOW_MS: f64 = 120.0;
    for (others_ms, is_kept) in [(20.0, false), (SLOW_MS, true)] {
        let mut harness = Harness::with_endpoints(sparse_settings(), 18, fleet(20));
        serve_successfully(&mut harness, 200, others_ms);
        let mut responses_of_slow_server = 0;
        while responses_of_slow_server < 5 {
            let request = harness.submit_request();
            // If all servers are slow, most requests are rejected.
            let Some(server) = request.server else { continue };
            let elapsed_ms = if server == SLOW_SERVER { SLOW_MS } else { others_ms };
            let mut actions = harness.advance_ms(elapsed_ms);
            actions.extend_from_slice(harness.succeed(request.id, elapsed_ms));
            if server == SLOW_SERVER {
                responses_of_slow_server += 1;
                let is_closed = actions.contains(&Action::CloseIdle { server });
                assert_eq!(!is_closed, is_kept, "the other servers take {others_ms} ms");
            }
        }
    }
}
