//! The process of the real agent.

use super::client::Client;
use super::config::{AgentConfig, ConfigFile};
use super::messages::{get_request, Message, READY_REQUEST};
use super::within_time_limit;
use std::net::SocketAddr;
use std::process::{ExitStatus, Stdio};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader, Lines};
use tokio::process::{Child, ChildStderr, Command};

/// The path of the agent's program.
pub const PROGRAM: &str = env!("CARGO_BIN_EXE_balancer-agent");

/// A running agent; it is killed when it is dropped.
pub struct Agent {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its process.
    pub process: Child,
    config_file: ConfigFile,
}

/// A command that starts the agent with this configuration and no other variables.
pub fn agent_command(config_file: &ConfigFile) -> Command {
    let mut command = Command::new(PROGRAM);
    command.env_clear().env("PROXY_CONFIG", config_file.path()).stderr(Stdio::piped()).kill_on_drop(true);
    command
}

impl Agent {
    /// Starts the agent.
    pub async fn start(config: &AgentConfig) -> Self {
        let config_file = ConfigFile::create(&config.to_text());
        Self::spawn(agent_command(&config_file), config_file).await
    }

    /// Starts a command that ends in the agent, whose configuration is in the file, and awaits its start.
    pub async fn spawn(mut command: Command, config_file: ConfigFile) -> Self {
        let mut process = command.spawn().expect("the program starts");
        let mut log = BufReader::new(process.stderr.take().expect("its log")).lines();
        let address = listen_address(&mut log).await;
        // The log must be read on, or a full pipe would stop the agent.
        tokio::spawn(async move { while let Ok(Some(_)) = log.next_line().await {} });
        Agent { address, process, config_file }
    }

    /// Opens a client connection.
    pub async fn connect(&self) -> Client {
        Client::connect(self.address).await
    }

    /// Sends a request over a connection of its own, which stays open.
    pub async fn send_request(&self, request: &str) -> Client {
        let mut client = self.connect().await;
        client.send(request).await;
        client
    }

    /// Sends a request over a connection of its own and awaits the response.
    pub async fn exchange(&self, request: &str) -> Message {
        self.connect().await.exchange(request).await
    }

    /// Gets a path over a connection of its own.
    pub async fn get(&self, path: &str) -> Message {
        self.exchange(&get_request(path, "5000m")).await
    }

    /// The status of a readiness request: 200 if the agent is ready.
    pub async fn readiness_status(&self) -> u16 {
        self.exchange(READY_REQUEST).await.status()
    }

    /// Returns once the agent is ready.
    pub async fn wait_until_ready(&self) {
        within_time_limit("readiness", async {
            while self.readiness_status().await != 200 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        })
        .await;
    }

    /// Begins the graceful shutdown.
    pub async fn send_sigterm(&self) {
        self.send_signal("-TERM").await;
    }

    /// Has the configuration file read again.
    pub async fn send_sighup(&self) {
        self.send_signal("-HUP").await;
    }

    async fn send_signal(&self, signal: &str) {
        let id = self.process_id().to_string();
        let sent = Command::new("kill").args([signal, &id]).status().await.expect("kill runs");
        assert!(sent.success());
    }

    fn process_id(&self) -> u32 {
        self.process.id().expect("it runs")
    }

    /// The most memory that the process has held so far.
    pub fn peak_memory_kb(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.process_id()));
        let status = status.expect("its status");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("its memory");
        peak.trim().trim_end_matches(" kB").parse().expect("a number")
    }

    /// Replaces the text of the configuration file; the agent reads it at the next SIGHUP.
    pub fn replace_config(&self, text: &str) {
        self.config_file.replace(text);
    }

    /// Awaits the end of the process.
    pub async fn wait_for_exit(&mut self) -> ExitStatus {
        within_time_limit("the agent's exit", self.process.wait()).await.expect("a status")
    }
}

/// Reads the log up to the line that tells where the agent listens.
async fn listen_address(log: &mut Lines<BufReader<ChildStderr>>) -> SocketAddr {
    loop {
        let line = within_time_limit("the agent's start", log.next_line()).await;
        let line = line.expect("a log").expect("a line");
        if let Some((_, address)) = line.split_once("listening on ") {
            return address.parse().expect("an address");
        }
    }
}
