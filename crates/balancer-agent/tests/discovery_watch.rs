//! The watch on the endpoint list: how it is kept up, what it is retried after, and what each update changes.

mod common;
use common::agent::Agent;
use common::config::AgentConfig;
use common::discovery::{
    endpoint_entry, up_entry, DiscoveryBehavior, Health, TestDiscovery, NEW_INCARNATION_MS,
};
use common::server::TestServer;
use common::setup::{start_agent_beside, start_configured_agent, start_watching_agent, SERVER_NAME};
use common::within_time_limit;
use serde_json::{json, Value};
use std::time::{Duration, Instant};

/// A watch goes on from the version of its last answer, and a draining server gets no new requests.
#[tokio::test]
async fn the_endpoint_list_is_watched_and_a_draining_server_gets_no_new_requests() {
    let mut old_server = TestServer::responding_with("old").await;
    let new_server = TestServer::responding_with("new").await;
    let discovery = TestDiscovery::without_news().await;
    let (mut discovery, agent) = start_agent_beside(discovery, old_server.address, |config| config).await;
    assert!(discovery.next_call().await.starts_with("/v1/endpoints?after=1&wait_ms="));
    assert_eq!(agent.get("/read").await.body, b"old");
    old_server.next_request().await;

    let notified = Instant::now();
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
    assert!(notified.elapsed() < Duration::from_secs(6), "closed for the drain, not for its age of 7 s");
}

/// `pushed` in the settings speaks of the simulator, where changes come by themselves. On sockets nothing
/// comes that is not asked for, so the list is watched all the same.
#[tokio::test]
async fn the_endpoint_list_is_watched_though_the_settings_call_discovery_pushed() {
    let mut old_server = TestServer::responding_with("old").await;
    let new_server = TestServer::responding_with("new").await;
    let discovery = TestDiscovery::without_news().await;
    let (mut discovery, agent) =
        start_agent_beside(discovery, old_server.address, AgentConfig::with_pushed_discovery).await;
    assert!(discovery.next_call().await.starts_with("/v1/endpoints?after=1&wait_ms="));
    assert_eq!(agent.get("/read").await.body, b"old");
    old_server.next_request().await;

    let draining = endpoint_entry(SERVER_NAME, old_server.address, Health::Draining);
    discovery.publish(2, &[draining, up_entry("new", new_server.address)]);

    assert!(discovery.next_call().await.starts_with("/v1/endpoints?after=2&wait_ms="));
    assert_eq!(agent.get("/read").await.body, b"new");
    assert!(!old_server.has_further_request(), "sent to a draining server");
}

/// The same server at another address, or started anew, is another process: nothing goes over old
/// connections.
#[tokio::test]
async fn a_new_address_or_incarnation_means_new_connections() {
    let mut first = TestServer::responding_with("1").await;
    let mut second = TestServer::responding_with("2").await;
    let (mut discovery, agent) = start_watching_agent(first.address, |config| config).await;
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

/// A server's address that is given to another server: no connection to the old one carries over.
#[tokio::test]
async fn an_address_reused_by_another_server_means_new_connections() {
    let server_name = |number: usize| format!("s{number}");
    let mut server = TestServer::responding_with("x").await;
    let mut discovery = TestDiscovery::without_news().await;
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

/// A discovery that answers with an error, and one that does not answer at all, is called again.
#[tokio::test]
async fn a_failed_or_unanswered_watch_is_retried() {
    let server = TestServer::responding_with("x").await;
    let mut discovery = TestDiscovery::start(DiscoveryBehavior::Fail).await;
    let agent = Agent::start(&AgentConfig::new(discovery.address, &[])).await;
    discovery.next_call().await;
    discovery.next_call().await;

    discovery.set_behavior(DiscoveryBehavior::Silent);
    discovery.next_call().await;
    // That call stays unanswered; only another one learns of this.
    discovery.publish(2, &[up_entry(SERVER_NAME, server.address)]);
    discovery.next_call().await;

    agent.wait_until_ready().await;
    assert_eq!(agent.get("/read").await.status(), 200);
}

/// What discovery learns while no watch is open counts as notified at once, so the delay before the next one
/// stays short, however many have failed.
#[tokio::test]
async fn the_watch_retry_delay_stays_within_the_drain_notice() {
    let server = TestServer::responding_with("x").await;
    let discovery = TestDiscovery::start(DiscoveryBehavior::Fail).await;
    let (mut discovery, _agent) =
        start_agent_beside(discovery, server.address, |config| config.with_stop_sending_within_ms(200)).await;

    let started = Instant::now();
    for _ in 0..12 {
        discovery.next_call().await;
    }

    // At most 125 ms each. Doubled each time they would come to 8 s at the least.
    assert!(started.elapsed() < Duration::from_secs(6), "{:?}", started.elapsed());
}

/// Lists that lack their entries, nest too deep or are too long to be read.
fn malformed_lists() -> [Value; 4] {
    let nested = (0..200).fold(json!([]), |inner, _| json!([inner]));
    [
        json!({"seq": 7, "whole": true}),
        json!({"seq": 7, "whole": true, "hosts": {}}),
        json!({"seq": 7, "whole": true, "hosts": [], "deep": nested}),
        json!({"seq": 7, "whole": true, "hosts": {}, "filler": vec![json!([]); 1_300_000]}),
    ]
}

/// A list that is malformed or has no end: what is known stands, memory stays small, and the next valid one
/// is applied.
#[tokio::test]
async fn a_malformed_or_oversized_endpoint_list_is_ignored() {
    let old_server = TestServer::responding_with("old").await;
    let new_server = TestServer::responding_with("new").await;
    let (mut discovery, agent) =
        start_configured_agent(old_server.address, |config| config.with_stop_sending_within_ms(200)).await;
    discovery.next_call().await;

    for malformed in malformed_lists() {
        discovery.skip_calls();
        discovery.set_behavior(DiscoveryBehavior::Serve(malformed));
        // One that may have been under way, one that got this, and one that shows that it has been looked at.
        for _ in 0..3 {
            discovery.next_call().await;
        }
        assert_eq!(agent.get("/read").await.body, b"old");
    }
    assert!(agent.peak_memory_kb() < 32 << 10, "{} kB", agent.peak_memory_kb());

    discovery.publish(8, &[up_entry("new", new_server.address)]);
    within_time_limit("the valid list", async { while agent.get("/read").await.body != b"new" {} }).await;
}
