//! Tests of the watch of the endpoint list: when the agent continues or retries the watch, and how it applies
//! each update.

mod common;
use common::agent::Agent;
use common::config::AgentConfig;
use common::discovery::{
    endpoint_entry, up_entry, DiscoveryBehaviour, Health, TestDiscovery, NEW_INCARNATION_START_MS,
};
use common::server::TestServer;
use common::setup::{start_agent_with_discovery, start_watching_agent, SERVER_NAME};
use common::within_time_limit;
use serde_json::{json, Value};
use std::time::{Duration, Instant};

/// Each watch names the version of the last endpoint list. A draining server gets no new requests, and its
/// idle connections are closed.
#[tokio::test]
async fn the_endpoint_list_is_watched_and_a_draining_server_gets_no_new_requests() {
    let mut old_server = TestServer::responding_with("old").await;
    let new_server = TestServer::responding_with("new").await;
    let mut discovery = TestDiscovery::without_updates().await;
    let agent = start_agent_with_discovery(&discovery, old_server.address, |config| config).await;
    assert!(discovery.next_call().await.starts_with("/v1/endpoints?after=1&wait_ms="));
    assert_eq!(agent.get("/read").await.body, b"old");
    old_server.next_request().await;

    let published_at = Instant::now();
    let draining_entry = endpoint_entry(SERVER_NAME, old_server.address, Health::Draining);
    let malformed_entry = json!({"host": 3});
    discovery.publish(2, &[draining_entry, up_entry("new", new_server.address), malformed_entry]);

    // The agent makes the next call only after it has applied the list.
    assert!(discovery.next_call().await.starts_with("/v1/endpoints?after=2&wait_ms="));
    for _ in 0..20 {
        assert_eq!(agent.get("/read").await.body, b"new");
    }
    assert!(!old_server.has_unread_request(), "a request was sent to a draining server");
    assert_eq!(old_server.next_closed_connection().await, 0);
    assert!(
        published_at.elapsed() < Duration::from_secs(6),
        "the connection was closed by the idle limit of 7 s, not because the server is draining"
    );
}

/// The discovery mode `pushed`, in which discovery sends updates without a call, exists only in the
/// simulator. The agent has to watch the list in any mode.
#[tokio::test]
async fn the_endpoint_list_is_watched_even_if_the_settings_say_pushed() {
    let mut old_server = TestServer::responding_with("old").await;
    let new_server = TestServer::responding_with("new").await;
    let mut discovery = TestDiscovery::without_updates().await;
    let agent =
        start_agent_with_discovery(&discovery, old_server.address, AgentConfig::with_pushed_discovery).await;
    assert!(discovery.next_call().await.starts_with("/v1/endpoints?after=1&wait_ms="));
    assert_eq!(agent.get("/read").await.body, b"old");
    old_server.next_request().await;

    let draining_entry = endpoint_entry(SERVER_NAME, old_server.address, Health::Draining);
    discovery.publish(2, &[draining_entry, up_entry("new", new_server.address)]);

    assert!(discovery.next_call().await.starts_with("/v1/endpoints?after=2&wait_ms="));
    assert_eq!(agent.get("/read").await.body, b"new");
    assert!(!old_server.has_unread_request(), "a request was sent to a draining server");
}

/// A server with a new address or start time is a new process, so the agent does not reuse old connections.
#[tokio::test]
async fn a_new_address_or_incarnation_means_new_connections() {
    let mut first_server = TestServer::responding_with("1").await;
    let mut second_server = TestServer::responding_with("2").await;
    let mut discovery = TestDiscovery::without_updates().await;
    let agent = start_watching_agent(&mut discovery, first_server.address, |config| config).await;
    assert_eq!(agent.get("/read").await.body, b"1");
    first_server.next_request().await;

    discovery.publish(2, &[up_entry(SERVER_NAME, second_server.address)]);
    discovery.next_call().await;
    assert_eq!(agent.get("/read").await.body, b"2");
    assert_eq!(second_server.next_request().await.connection, 0);

    let mut restarted_entry = up_entry(SERVER_NAME, second_server.address);
    restarted_entry["born_ms"] = NEW_INCARNATION_START_MS.into();
    discovery.publish(3, &[restarted_entry]);
    discovery.next_call().await;
    assert_eq!(agent.get("/read").await.body, b"2");
    assert_eq!(second_server.next_request().await.connection, 1);
}

/// Connections to a server are not reused after its address has been assigned to another server.
#[tokio::test]
async fn an_address_reused_by_another_server_means_new_connections() {
    let server_name = |number: usize| format!("s{number}");
    let mut server = TestServer::responding_with("x").await;
    let mut discovery = TestDiscovery::without_updates().await;
    let cached_entries = [up_entry(&server_name(0), server.address)];
    let agent = Agent::start(&AgentConfig::new(discovery.address, &cached_entries)).await;
    discovery.next_call().await;

    for number in 0..4 {
        assert_eq!(agent.get("/read").await.status(), 200);
        assert_eq!(server.next_request().await.connection, number);
        let added_entry = up_entry(&server_name(number + 1), server.address);
        let removed_entry = endpoint_entry(&server_name(number), server.address, Health::Removed);
        discovery.publish_changes(number as u64 + 2, &[added_entry, removed_entry]);
        discovery.next_call().await;
    }
}

/// The agent retries a watch if discovery responds with an error or does not respond.
#[tokio::test]
async fn a_watch_with_an_error_or_no_response_is_retried() {
    let server = TestServer::responding_with("x").await;
    let mut discovery = TestDiscovery::start(DiscoveryBehaviour::Fail).await;
    let agent = Agent::start(&AgentConfig::new(discovery.address, &[])).await;
    discovery.next_call().await;
    discovery.next_call().await;

    discovery.set_behaviour(DiscoveryBehaviour::Silent);
    discovery.next_call().await;
    // The open call gets no response, so the agent gets this list only if it retries the watch.
    discovery.publish(2, &[up_entry(SERVER_NAME, server.address)]);
    discovery.next_call().await;

    agent.wait_until_ready().await;
    assert_eq!(agent.get("/read").await.status(), 200);
}

/// While no watch is open, the time to stop sending to a draining server begins when discovery lists the
/// server as draining. The delay before the agent retries the watch is therefore shorter than that time, even
/// after many failures.
#[tokio::test]
async fn the_watch_retry_delay_stays_within_the_time_to_stop_sending() {
    let server = TestServer::responding_with("x").await;
    let mut discovery = TestDiscovery::start(DiscoveryBehaviour::Fail).await;
    let _agent = start_agent_with_discovery(&discovery, server.address, |config| {
        config.with_stop_sending_within_ms(200)
    })
    .await;

    let started_at = Instant::now();
    for _ in 0..12 {
        discovery.next_call().await;
    }

    // Each delay is at most 125 ms, including the wait for the balancer's next tick. Delays that doubled
    // without this limit would add up to 8 s or more.
    assert!(started_at.elapsed() < Duration::from_secs(6), "the retries took {:?}", started_at.elapsed());
}

/// Returns endpoint lists without valid entries, with nesting that is too deep, and over the size limit.
fn malformed_lists() -> [Value; 4] {
    let nested_array = (0..200).fold(json!([]), |inner, _| json!([inner]));
    [
        json!({"seq": 7, "whole": true}),
        json!({"seq": 7, "whole": true, "hosts": {}}),
        json!({"seq": 7, "whole": true, "hosts": [], "deep": nested_array}),
        json!({"seq": 7, "whole": true, "hosts": {}, "filler": vec![json!([]); 1_300_000]}),
    ]
}

/// After a malformed or oversized list, the agent continues to use the endpoints of the last valid list, uses
/// little memory, and applies the next valid list.
#[tokio::test]
async fn a_malformed_or_oversized_endpoint_list_is_ignored() {
    let old_server = TestServer::responding_with("old").await;
    let new_server = TestServer::responding_with("new").await;
    let mut discovery = TestDiscovery::silent().await;
    let agent = start_agent_with_discovery(&discovery, old_server.address, |config| {
        config.with_stop_sending_within_ms(200)
    })
    .await;
    discovery.next_call().await;

    for malformed_list in malformed_lists() {
        discovery.discard_calls();
        discovery.set_behaviour(DiscoveryBehaviour::Serve(malformed_list));
        // The first call may have been in flight before, the second gets this list, and the agent makes the
        // third after it has handled the list.
        for _ in 0..3 {
            discovery.next_call().await;
        }
        assert_eq!(agent.get("/read").await.body, b"old");
    }
    assert!(agent.peak_memory_kb() < 32 << 10, "the peak memory is {} kB", agent.peak_memory_kb());

    discovery.publish(8, &[up_entry("new", new_server.address)]);
    within_time_limit("a response under the valid list", async {
        while agent.get("/read").await.body != b"new" {}
    })
    .await;
}
