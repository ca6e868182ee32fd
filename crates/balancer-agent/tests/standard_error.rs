//! Tests of an agent whose standard error cannot be written. The log must not end or delay the agent.

mod common;
use common::agent::agent_command;
use common::client::Client;
use common::config::{AgentConfig, ConfigFile};
use common::discovery::{up_entry, TestDiscovery};
use common::messages::{get_request, READY_REQUEST};
use common::server::TestServer;
use common::within_time_limit;
use std::net::SocketAddr;
use std::process::{ExitStatus, Stdio};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::process::Child;

/// Returns an address of this machine that is free now.
async fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port should be free");
    listener.local_addr().expect("the listener should have an address")
}

/// Waits until the agent that listens on this address is ready.
async fn wait_until_ready(address: SocketAddr) {
    within_time_limit("readiness", async {
        while tokio::net::TcpStream::connect(address).await.is_err()
            || Client::connect(address).await.exchange(READY_REQUEST).await.status() != 200
        {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    })
    .await;
}

/// Starts an agent that knows `server_count` servers and writes its log to `standard_error`, has it serve a
/// request, handle SIGHUP and end at SIGTERM, and returns its exit status.
async fn run_agent(server_count: usize, standard_error: Stdio) -> ExitStatus {
    let server = TestServer::responding_with("x").await;
    let discovery = TestDiscovery::silent().await;
    let names = (0..server_count).map(|number| format!("server-{number}"));
    let entries: Vec<_> = names.map(|name| up_entry(&name, server.address)).collect();
    let address = free_address().await;
    let config = AgentConfig::new(discovery.address, &entries).with_listen_address(&address.to_string());
    let file = ConfigFile::create(&config.to_text());
    let mut process = agent_command(&file).stderr(standard_error).spawn().expect("the agent should start");
    wait_until_ready(address).await;

    let response = Client::connect(address).await.exchange(&get_request("/read", "5000m")).await;
    assert_eq!(response.status(), 200);
    send_signal(&process, "-HUP").await;
    let response = Client::connect(address).await.exchange(&get_request("/read", "5000m")).await;
    assert_eq!(response.status(), 200);
    send_signal(&process, "-TERM").await;
    within_time_limit("the agent's exit", process.wait()).await.expect("the exit status should be available")
}

async fn send_signal(process: &Child, signal: &str) {
    let id = process.id().expect("the agent should be running").to_string();
    let status = tokio::process::Command::new("kill").args([signal, &id]).status().await;
    assert!(status.expect("the kill command should run").success());
}

#[tokio::test]
async fn a_full_disk_under_the_log_does_not_end_the_agent() {
    let full = std::fs::File::options().write(true).open("/dev/full").expect("/dev/full should exist");
    assert!(run_agent(1, full.into()).await.success());
}

#[tokio::test]
async fn a_log_without_a_reader_does_not_end_the_agent() {
    let (reader, writer) = std::io::pipe().expect("a pipe should be created");
    drop(reader);
    assert!(run_agent(1, writer.into()).await.success());
}

/// The lines of 3,200 servers are longer than the pipe is large.
#[tokio::test]
async fn a_log_that_is_not_read_does_not_block_the_agent() {
    let (reader, writer) = std::io::pipe().expect("a pipe should be created");
    assert!(run_agent(3_200, writer.into()).await.success());
    drop(reader);
}
