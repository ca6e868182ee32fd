//! Tests of the configuration reload on SIGHUP, in normal operation and during graceful shutdown.

mod common;
use common::agent::{agent_command, Agent};
use common::config::{AgentConfig, ConfigFile};
use common::discovery::{up_entry, TestDiscovery};
use common::messages::{ok_response, post_request};
use common::server::{ResponseGate, ServerReply, TestServer};
use common::setup::SERVER_NAME;
use common::within_time_limit;
use tokio::io::AsyncReadExt;

/// Starts an agent that gets the discovery address from both its configuration file and `PROXY_DISCOVERY`.
async fn start_agent_with_discovery_variable(config: &AgentConfig, discovery: &TestDiscovery) -> Agent {
    let config_file = ConfigFile::create(&config.to_text());
    let mut command = agent_command(&config_file);
    command.env("PROXY_DISCOVERY", discovery.address.to_string());
    Agent::spawn(command, config_file).await
}

/// After SIGHUP, the agent requests the complete list from the new discovery address in the file, and applies
/// the list whatever its version. Open requests are not affected. `PROXY_DISCOVERY` applies to the start
/// only.
#[tokio::test]
async fn a_reload_switches_to_the_new_discovery_address() {
    let other_reply = ServerReply::KeepOpen(ok_response("old"));
    let gate = ResponseGate::default();
    let mut old_server = TestServer::holding_payments(&gate, ok_response("paid"), other_reply).await;
    let new_server = TestServer::responding_with("new").await;
    let mut old_discovery = TestDiscovery::without_updates().await;
    let mut new_discovery = TestDiscovery::silent().await;
    new_discovery.publish(1, &[up_entry("new", new_server.address)]);
    let cached_entries = [up_entry("old", old_server.address)];
    let config = AgentConfig::new(old_discovery.address, &cached_entries).with_cached_version(50);
    let mut agent = start_agent_with_discovery_variable(&config, &old_discovery).await;
    old_discovery.next_call().await;
    let mut paying_client = agent.send_request(&post_request("/pay", "60000m", "b")).await;
    old_server.next_request().await;

    // An invalid file changes nothing, and neither the file nor a second SIGHUP ends the agent.
    agent.replace_config("{ half a file");
    agent.send_sighup().await;
    agent.send_sighup().await;
    assert_eq!(agent.get("/read").await.body, b"old");

    agent.replace_config(&config.with_discovery(new_discovery.address).to_text());
    for _ in 0..3 {
        agent.send_sighup().await;
    }
    assert_eq!(
        new_discovery.next_call().await,
        "/v1/endpoints",
        "the agent should request the complete list"
    );
    // The agent begins the next watch after it has applied the list.
    within_time_limit("the new watch", async {
        while !new_discovery.next_call().await.contains("after=1&") {}
    })
    .await;
    assert_eq!(agent.get("/read").await.body, b"new");

    gate.release_one();
    assert_eq!(paying_client.receive().await.body, b"paid");
    agent.send_sighup().await;
    agent.send_sigterm().await;
    assert!(agent.wait_for_exit().await.success());
}

/// A change that discovery sends at its former address is applied while the new address has not responded, and
/// the list of the new address replaces it.
#[tokio::test]
async fn a_list_from_the_former_discovery_address_is_used_until_the_new_one_responds() {
    let server = TestServer::responding_with("first").await;
    let second_server = TestServer::responding_with("second").await;
    let third_server = TestServer::responding_with("third").await;
    let mut former_discovery = TestDiscovery::without_updates().await;
    let mut new_discovery = TestDiscovery::silent().await;
    let config = AgentConfig::new(former_discovery.address, &[up_entry(SERVER_NAME, server.address)]);
    let agent = Agent::start(&config).await;
    former_discovery.next_call().await;
    agent.replace_config(&config.with_discovery(new_discovery.address).to_text());
    agent.send_sighup().await;
    assert_eq!(new_discovery.next_call().await, "/v1/endpoints");

    former_discovery.publish(2, &[up_entry("second", second_server.address)]);
    within_time_limit("a response under the list of the former address", async {
        while agent.get("/read").await.body != b"second" {}
    })
    .await;

    new_discovery.publish(3, &[up_entry("third", third_server.address)]);
    within_time_limit("a response under the list of the new address", async {
        while agent.get("/read").await.body != b"third" {}
    })
    .await;
}

/// The address of discovery changes during the graceful shutdown, while a request is open.
#[tokio::test]
async fn a_reload_takes_effect_during_graceful_shutdown() {
    let gate = ResponseGate::default();
    let mut server = TestServer::holding_responses(&gate, "x").await;
    let mut old_discovery = TestDiscovery::silent().await;
    let mut new_discovery = TestDiscovery::silent().await;
    let config = AgentConfig::new(old_discovery.address, &[up_entry(SERVER_NAME, server.address)]);
    let mut agent = Agent::start(&config).await;
    old_discovery.next_call().await;
    let mut client = agent.send_request(&post_request("/pay", "60000m", "b")).await;
    server.next_request().await;

    agent.replace_config(&config.with_discovery(new_discovery.address).to_text());
    agent.send_sigterm().await;
    agent.send_sighup().await;

    assert_eq!(new_discovery.next_call().await, "/v1/endpoints");
    gate.release_one();
    assert_eq!(client.receive().await.status(), 200);
    let mut rest = Vec::new();
    assert_eq!(client.stream.read_to_end(&mut rest).await.expect("the agent should close the connection"), 0);
    assert!(agent.wait_for_exit().await.success());
}
