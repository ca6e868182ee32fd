//! Starts an agent with the configuration that most tests use and one server in its cached endpoint list.

use super::agent::Agent;
use super::config::AgentConfig;
use super::discovery::{up_entry, TestDiscovery};
use std::net::SocketAddr;
use std::time::Duration;

/// The name of the only server in the agent's cached endpoint list.
pub const SERVER_NAME: &str = "s";

/// A socket limit of the agent that is low enough for the clients of one test to use up all connection slots.
pub const LOW_SOCKET_LIMIT: usize = 80;

/// A delay after SIGTERM that is longer than the 0.65 s for which the agent accepts new connections. If the
/// longest class timeout is 3 s or more, the agent waits for responses until well after this delay.
pub const DELAY_PAST_ACCEPT_PERIOD: Duration = Duration::from_secs(1);

/// Starts an agent whose cached endpoint list holds the server at this address. Its discovery service sends
/// no responses.
pub async fn start_agent(server: SocketAddr) -> Agent {
    start_configured_agent(server, |config| config).await
}

/// Starts an agent like [`start_agent`], with [`LOW_SOCKET_LIMIT`].
pub async fn start_agent_with_low_socket_limit(server: SocketAddr) -> Agent {
    start_configured_agent(server, |config| config.with_socket_limit(LOW_SOCKET_LIMIT)).await
}

/// Starts an agent like [`start_agent`], with the configuration that `configure` returns.
pub async fn start_configured_agent(
    server: SocketAddr,
    configure: impl FnOnce(AgentConfig) -> AgentConfig,
) -> Agent {
    start_agent_with_discovery(&TestDiscovery::silent().await, server, configure).await
}

/// Starts an agent like [`start_configured_agent`], with this discovery service.
pub async fn start_agent_with_discovery(
    discovery: &TestDiscovery,
    server: SocketAddr,
    configure: impl FnOnce(AgentConfig) -> AgentConfig,
) -> Agent {
    let config = AgentConfig::new(discovery.address, &[up_entry(SERVER_NAME, server)]);
    Agent::start(&configure(config)).await
}

/// Starts an agent like [`start_agent_with_discovery`], and waits until the discovery service has received
/// the agent's first call.
pub async fn start_watching_agent(
    discovery: &mut TestDiscovery,
    server: SocketAddr,
    configure: impl FnOnce(AgentConfig) -> AgentConfig,
) -> Agent {
    let agent = start_agent_with_discovery(discovery, server, configure).await;
    discovery.next_call().await;
    agent
}
