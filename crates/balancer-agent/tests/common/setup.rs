//! The set-up that most tests begin with: an agent that knows one server, beside a discovery service.

use super::agent::Agent;
use super::config::AgentConfig;
use super::discovery::{up_entry, TestDiscovery};
use std::net::SocketAddr;
use std::time::Duration;

/// The name of the one server in the agent's known endpoint list.
pub const SERVER_NAME: &str = "s";

/// So few sockets that the clients of a test can take them all.
pub const FEW_SOCKETS: usize = 80;

/// Counted from SIGTERM: past the time in which new connections are accepted, and well before SIGKILL with
/// deadlines of 3 s.
pub const AFTER_LAST_ACCEPT: Duration = Duration::from_secs(1);

/// Starts an agent that knows the server at this address, beside a discovery that answers no call.
pub async fn start_agent(server: SocketAddr) -> (TestDiscovery, Agent) {
    start_configured_agent(server, |config| config).await
}

/// The same, with [`FEW_SOCKETS`].
pub async fn start_agent_with_few_sockets(server: SocketAddr) -> (TestDiscovery, Agent) {
    start_configured_agent(server, |config| config.with_socket_limit(FEW_SOCKETS)).await
}

/// The same, with the configuration adapted.
pub async fn start_configured_agent(
    server: SocketAddr,
    configure: impl FnOnce(AgentConfig) -> AgentConfig,
) -> (TestDiscovery, Agent) {
    start_agent_beside(TestDiscovery::silent().await, server, configure).await
}

/// The same beside a discovery that has nothing newer until the test publishes it; its first watch has come.
pub async fn start_watching_agent(
    server: SocketAddr,
    configure: impl FnOnce(AgentConfig) -> AgentConfig,
) -> (TestDiscovery, Agent) {
    let (mut discovery, agent) =
        start_agent_beside(TestDiscovery::without_news().await, server, configure).await;
    discovery.next_call().await;
    (discovery, agent)
}

/// The same beside this discovery.
pub async fn start_agent_beside(
    discovery: TestDiscovery,
    server: SocketAddr,
    configure: impl FnOnce(AgentConfig) -> AgentConfig,
) -> (TestDiscovery, Agent) {
    let config = AgentConfig::new(discovery.address, &[up_entry(SERVER_NAME, server)]);
    let agent = Agent::start(&configure(config)).await;
    (discovery, agent)
}
