//! Tests of the servers and the connection slots of a pool.

use super::*;
use crate::endpoint_list::EndpointList;

const SERVER: ServerId = ServerId(1);
const OTHER_SERVER: ServerId = ServerId(2);

fn pool() -> Rc<ConnectionPool> {
    let limits = PoolLimits {
        max_connections: 2,
        connect_timeout: Duration::from_secs(1),
        keepalive: Duration::from_secs(10),
    };
    ConnectionPool::new(limits, MemoryBudget::with_capacity(1 << 20))
}

fn entry(status: &str) -> EndpointEntry {
    let list =
        serde_json::json!({"seq": 1, "hosts": [{"host": "s", "dial": "127.0.0.1:1", "health": status}]});
    let list = EndpointList::parse(&list).expect("a list");
    list.entries.into_iter().next().expect("an entry")
}

#[test]
fn a_pool_has_a_serving_server_while_one_is_up() {
    let pool = pool();
    assert!(!pool.has_serving_server());

    pool.update_server(SERVER, &entry("up"));
    assert!(pool.has_serving_server());

    pool.update_server(SERVER, &entry("draining"));
    assert!(!pool.has_serving_server());

    pool.update_server(SERVER, &entry("up"));
    pool.update_server(SERVER, &entry("removed"));
    assert!(!pool.has_serving_server());
}

#[test]
fn servers_that_are_missing_from_a_complete_list_are_removed() {
    let pool = pool();
    pool.update_server(SERVER, &entry("up"));

    pool.remove_unlisted_servers(&HashSet::from([SERVER]));
    assert!(pool.has_serving_server());

    pool.remove_unlisted_servers(&HashSet::from([OTHER_SERVER]));
    assert!(!pool.has_serving_server());
}

#[test]
fn an_address_belongs_to_the_server_that_it_was_last_assigned_to() {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut servers = ServersByAddress::default();

    assert_eq!(servers.assign(address, SERVER), None);
    assert_eq!(servers.assign(address, SERVER), None, "the address did not belong to a different server");
    assert_eq!(servers.assign(address, OTHER_SERVER), Some(SERVER));

    servers.unassign(address, SERVER);
    assert_eq!(
        servers.assign(address, SERVER),
        Some(OTHER_SERVER),
        "only the server that has the address can unassign it"
    );

    servers.unassign(address, SERVER);
    assert_eq!(servers.assign(address, OTHER_SERVER), None);
}

#[test]
fn a_dropped_slot_is_free_again() {
    let slots = ConnectionSlots::new(2, MemoryBudget::with_capacity(1 << 20));
    let first = slots.reserve();
    let _second = slots.reserve();
    assert!(first.is_some() && slots.is_exhausted());
    assert!(slots.reserve().is_none());

    drop(first);

    assert!(!slots.is_exhausted());
}

/// A slot that is free before its socket is closed lets the process open more sockets than it may.
#[tokio::test]
async fn a_slot_is_free_only_after_its_socket_is_closed() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let pool = pool();
    let list = serde_json::json!({"seq": 1, "hosts": [
        {"host": "s", "dial": address.to_string(), "health": "up"}]});
    let list = EndpointList::parse(&list).expect("a list");
    pool.update_server(SERVER, &list.entries[0]);
    let test = async {
        let connections = [(); 2].map(|()| pool.acquire(SERVER));
        let [first, second] = connections;
        let (first, second) = tokio::join!(first, second);
        let _second = second.unwrap_or_else(|outcome| panic!("{outcome:?}"));
        drop(first.unwrap_or_else(|outcome| panic!("{outcome:?}")));
        assert!(pool.slots.is_exhausted(), "the socket is still open");

        let (mut peer, _) = listener.accept().await.expect("the first connection");
        let read = tokio::io::AsyncReadExt::read(&mut peer, &mut [0; 1]).await;
        assert_eq!(read.expect("an orderly close"), 0);

        assert!(!pool.slots.is_exhausted());
    };
    tokio::task::LocalSet::new().run_until(test).await;
}
