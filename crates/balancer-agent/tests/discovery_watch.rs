//! The watch on the endpoint list: when it is continued or retried, and what each update changes.

mod common;
use common::agent::Agent;
use common::config::AgentConfig;
use common::discovery::{
    endpoint_entry, up_entry, DiscoveryBehavior, Health, TestDiscovery, NEW_INCARNATION_MS,
};
use common::server::TestServer;
use common::setup::{start_agent_with_discovery, start_watching_agent, SERVER_NAME};
use common::within_time_limit;
use serde_json::{json, Value};
use std::time::{Duration, Instant};

/// Each watch names the version of the last answer, and a draining server gets no new requests.
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
    let draining = endpoint_entry(SERVER_NAME, old_server.address, Health::Draining);
    let malformed = json!({"host": 3});
    discovery.publish(2, &[draining, up_entry("new", new_server.address), malformed]);

    // The next call shows that the list has been applied.
    assert!(discovery.next_call().await.starts_with("/v1/endpoints?after=2&wait_ms="));
    for _ in 0..20 {
        assert_eq!(agent.get("/read").await.body, b"new");
    }
    assert!(!old_server.has_further_request(), "sent to a draining server");
    assert_eq!(old_server.next_closed_connection().await, 0);
    assert!(
        published_at.elapsed() < Duration::from_secs(6),
        "closed by the idle limit of 7 s, not the drain"
    );
}

/// `pushed` discovery exists in the simulator only, where updates are sent unrequested. On sockets the list
/// has to be watched whatever the settings say.
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

    let draining = endpoint_entry(SERVER_NAME, old_server.address, Health::Draining);
    discovery.publish(2, &[draining, up_entry("new", new_server.address)]);

    assert!(discovery.next_call().await.starts_with("/v1/endpoints?after=2&wait_ms="));
    assert_eq!(agent.get("/read").await.body, b"new");
    assert!(!old_server.has_further_request(), "sent to a draining server");
}

/// A server with a new address or a new start time is a new process: old connections are not reused.
#[tokio::test]
async fn a_new_address_or_incarnation_means_new_connections() {
    let mut first = TestServer::responding_with("1").await;
    let mut second = TestServer::responding_with("2").await;
    let mut discovery = TestDiscovery::without_updates().await;
    let agent = start_watching_agent(&mut discovery, first.address, |config| config).await;
    assert_eq!(agent.get("/read").await.body, b"1");
    first.next_request().await;

    discovery.publish(2, &[up_entry(SERVER_NAME, second.address)]);
    discovery.next_call().await;
    assert_eq!(agent.get("/read").await.body, b"2");
    assert_eq!(second.next_request().await.connection, 0);

    let mut restarted = up_entry(SERVER_NAME, second.address);
    restarted["born_ms"] = NEW_INCARNATION_MS.into();
    discovery.publish(3, &[restarted]);
    discovery.next_call().await;
    assert_eq!(agent.get("/read").await.body, b"2");
    assert_eq!(second.next_request().await.connection, 1);
}

/// An address is assigned to another server: connections to the old server are not reused.
#[tokio::test]
async fn an_address_reused_by_another_server_means_new_connections() {
    let server_name = |number: usize| format!("s{number}");
    let mut server = TestServer::responding_with("x").await;
    let mut discovery = TestDiscovery::without_updates().await;
    let known_entries = [up_entry(&server_name(0), server.address)];
    let agent = Agent::start(&AgentConfig::new(discovery.address, &known_entries)).await;
    discovery.next_call().await;

    for number in 0..4 {
        assert_eq!(agent.get("/read").await.status(), 200);
        assert_eq!(server.next_request().await.connection, number);
        let added = up_entry(&server_name(number + 1), server.address);
        let removed = endpoint_entry(&server_name(number), server.address, Health::Removed);
        discovery.publish_changes(number as u64 + 2, &[added, removed]);
        discovery.next_call().await;
    }
}

/// The watch is retried if discovery answers with an error, and if it does not answer.
#[tokio::test]
async fn a_failed_or_unanswered_watch_is_retried() {
    let server = TestServer::responding_with("x").await;
    let mut discovery = TestDiscovery::start(DiscoveryBehavior::Fail).await;
    let agent = Agent::start(&AgentConfig::new(discovery.address, &[])).await;
    discovery.next_call().await;
    discovery.next_call().await;

    discovery.set_behavior(DiscoveryBehavior::Silent);
    discovery.next_call().await;
    // The open call stays unanswered, so the agent only gets this list by retrying.
    discovery.publish(2, &[up_entry(SERVER_NAME, server.address)]);
    discovery.next_call().await;

    agent.wait_until_ready().await;
    assert_eq!(agent.get("/read").await.status(), 200);
}

/// A change that discovery learns of while no watch is open counts as notified at once, so the retry delay
/// stays short even after many failures.
#[tokio::test]
async fn the_watch_retry_delay_stays_within_the_drain_notice() {
    let server = TestServer::responding_with("x").await;
    let mut discovery = TestDiscovery::start(DiscoveryBehavior::Fail).await;
    let _agent = start_agent_with_discovery(&discovery, server.address, |config| {
        config.with_stop_sending_within_ms(200)
    })
    .await;

    let started = Instant::now();
    for _ in 0..12 {
        discovery.next_call().await;
    }

    // Each delay is at most 125 ms. Delays that double without a bound would add up to 8 s or more.
    assert!(started.elapsed() < Duration::from_secs(6), "{:?}", started.elapsed());
}

/// Lists that lack their entries, are nested too deeply or are too long.
fn malformed_lists() -> [Value; 4] {
    let nested = (0..200).fold(json!([]), |inner, _| json!([inner]));
    [
        json!({"seq": 7, "whole": true}),
        json!({"seq": 7, "whole": true, "hosts": {}}),
        json!({"seq": 7, "whole": true, "hosts": [], "deep": nested}),
        json!({"seq": 7, "whole": true, "hosts": {}, "filler": vec![json!([]); 1_300_000]}),
    ]
}

/// After a malformed or oversized list the known endpoints stay in use, memory use stays low, and the next
/// valid list is applied.
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

    for malformed in malformed_lists() {
        discovery.discard_calls();
        discovery.set_behavior(DiscoveryBehavior::Serve(malformed));
        // A call that may have been in flight, one that got this list, and one after the list was handled.
        for _ in 0..3 {
            discovery.next_call().await;
        }
        assert_eq!(agent.get("/read").await.body, b"old");
    }
    assert!(agent.peak_memory_kb() < 32 << 10, "{} kB", agent.peak_memory_kb());

    discovery.publish(8, &[up_entry("new", new_server.address)]);
    within_time_limit("the valid list", async { while agent.get("/read").await.body != b"new" {} }).await;
}
