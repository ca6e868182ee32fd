//! Starts an agent that knows one server, with the configuration that most tests use.

use super::agent::Agent;
use super::config::AgentConfig;
use super::discovery::{up_entry, TestDiscovery};
use std::net::SocketAddr;
use std::time::Duration;

/// The name of the one server in the agent's known endpoint list.
pub const SERVER_NAME: &str = "s";

/// A socket limit that is low enough for the clients of a test to use up all connections.
pub const FEW_SOCKETS: usize = 80;

/// A time after SIGTERM when new connections are no longer accepted, well before SIGKILL with deadlines of 3
/// s.
pub const AFTER_LAST_ACCEPT: Duration = Duration::from_secs(1);

/// Starts an agent that knows the server at this address. Its discovery answers no call.
pub async fn start_agent(server: SocketAddr) -> Agent {
    start_configured_agent(server, |config| config).await
}

/// Like [`start_agent`], with [`FEW_SOCKETS`].
pub async fn start_agent_with_few_sockets(server: SocketAddr) -> Agent {
    start_configured_agent(server, |config| config.with_socket_limit(FEW_SOCKETS)).await
}

/// Like [`start_agent`], with an altered configuration.
pub async fn start_configured_agent(
    server: SocketAddr,
    configure: impl FnOnce(AgentConfig) -> AgentConfig,
) -> Agent {
    start_agent_with_discovery(&TestDiscovery::silent().await, server, configure).await
}

/// Like [`start_configured_agent`], with this discovery service.
pub async fn start_agent_with_discovery(
    discovery: &TestDiscovery,
    server: SocketAddr,
    configure: impl FnOnce(AgentConfig) -> AgentConfig,
) -> Agent {
    let config = AgentConfig::new(discovery.address, &[up_entry(SERVER_NAME, server)]);
    Agent::start(&configure(config)).await
}

/// Like [`start_agent_with_discovery`]; returns once the agent's first call has been received.
pub async fn start_watching_agent(
    discovery: &mut TestDiscovery,
    server: SocketAddr,
    configure: impl FnOnce(AgentConfig) -> AgentConfig,
) -> Agent {
    let agent = start_agent_with_discovery(discovery, server, configure).await;
    discovery.next_call().await;
    agent
}
