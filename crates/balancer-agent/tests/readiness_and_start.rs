//! Tests of the agent's start, its readiness, and its restart after SIGKILL.

mod common;
use common::agent::{agent_command, Agent};
use common::config::{AgentConfig, ConfigFile};
use common::discovery::{up_entry, DiscoveryBehaviour, TestDiscovery};
use common::messages::get_request;
use common::server::TestServer;
use common::setup::SERVER_NAME;
use common::sockets::RefusingAddress;
use common::within_time_limit;

#[tokio::test]
async fn the_agent_becomes_ready_when_discovery_lists_a_server() {
    let server = TestServer::responding_with("x").await;
    let mut discovery = TestDiscovery::silent().await;
    let agent = Agent::start(&AgentConfig::new(discovery.address, &[])).await;
    assert_eq!(agent.readiness_status().await, 503);

    discovery.next_call().await;
    discovery.publish(2, &[up_entry(SERVER_NAME, server.address)]);

    agent.wait_until_ready().await;
    assert_eq!(agent.get("/read").await.status(), 200);
}

/// A restarted agent has a cached endpoint list. The agent serves requests with this list even if discovery
/// does not respond, responds with errors or refuses connections.
#[tokio::test]
async fn an_agent_with_a_cached_endpoint_list_is_ready_whatever_discovery_does() {
    let server = TestServer::responding_with("x").await;
    let silent_discovery = TestDiscovery::silent().await;
    let failing_discovery = TestDiscovery::start(DiscoveryBehaviour::Fail).await;
    let refusing_address = RefusingAddress::reserve();

    for discovery_address in [silent_discovery.address, failing_discovery.address, refusing_address.address] {
        let config = AgentConfig::new(discovery_address, &[up_entry(SERVER_NAME, server.address)]);
        let agent = Agent::start(&config).await;
        assert_eq!(agent.readiness_status().await, 200);
        assert_eq!(agent.get("/read").await.status(), 200);
    }
}

#[tokio::test]
async fn an_invalid_configuration_ends_the_start_with_a_one_line_error() {
    for text in ["", "{}", "[1]", r#"{"settings":{"classes":[]},"discovery":"127.0.0.1:1"}"#] {
        let config_file = ConfigFile::create(text);

        let output = within_time_limit("the agent's exit", agent_command(&config_file).output()).await;

        let output = output.expect("the agent should run");
        std::fs::remove_file(config_file.path()).expect("the configuration file should be removable");
        assert!(!output.status.success());
        let log = String::from_utf8(output.stderr).expect("the log should be valid UTF-8");
        assert_eq!(log.lines().count(), 1, "{log}");
        assert!(log.starts_with("balancer-agent: "), "{log}");
    }
}

/// After SIGKILL, the agent can be restarted on the same address with its cached endpoint list.
#[tokio::test]
async fn a_killed_agent_restarts_on_its_address() {
    let server = TestServer::responding_with("x").await;
    let discovery = TestDiscovery::silent().await;
    // No other test uses this IP address, so no other test can use the port between the two starts.
    let config = AgentConfig::new(discovery.address, &[up_entry(SERVER_NAME, server.address)])
        .with_listen_address("127.0.0.2:0");
    let mut killed_agent = Agent::start(&config).await;
    // A connection that is open when the process is killed keeps the address in use for some time.
    let mut client = killed_agent.connect().await;
    assert_eq!(client.exchange(&get_request("/read", "2000m")).await.status(), 200);

    killed_agent.process.kill().await.expect("the process should be killed");
    let restarted_agent = Agent::start(&config.with_listen_address(&killed_agent.address.to_string())).await;

    restarted_agent.wait_until_ready().await;
    assert_eq!(restarted_agent.get("/read").await.status(), 200);
}
