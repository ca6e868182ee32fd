//! The agent under test, as a process.

use super::client::Client;
use super::config::{AgentConfig, ConfigFile};
use super::messages::{get_request, Message, READY_REQUEST};
use super::within_time_limit;
use std::net::SocketAddr;
use std::process::{ExitStatus, Stdio};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader, Lines};
use tokio::process::{Child, ChildStderr, Command};

/// The path of the agent's executable.
pub const PROGRAM: &str = env!("CARGO_BIN_EXE_balancer-agent");

/// A running agent. Its process is killed on drop.
pub struct Agent {
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The process.
    pub process: Child,
    config_file: ConfigFile,
}

/// A command that starts the agent with this configuration file and no other environment variables.
pub fn agent_command(config_file: &ConfigFile) -> Command {
    let mut command = Command::new(PROGRAM);
    command.env_clear().env("PROXY_CONFIG", config_file.path()).stderr(Stdio::piped()).kill_on_drop(true);
    command
}

impl Agent {
    /// Starts an agent with this configuration.
    pub async fn start(config: &AgentConfig) -> Self {
        let config_file = ConfigFile::create(&config.to_text());
        Self::spawn(agent_command(&config_file), config_file).await
    }

    /// Spawns a command that executes the agent with this configuration file, and waits until it listens.
    pub async fn spawn(mut command: Command, config_file: ConfigFile) -> Self {
        let mut process = command.spawn().expect("the program starts");
        let mut log = BufReader::new(process.stderr.take().expect("a piped log")).lines();
        let address = listen_address(&mut log).await;
        // The rest of the log is read and dropped, as a full pipe would block the agent.
        tokio::spawn(async move { while let Ok(Some(_)) = log.next_line().await {} });
        Agent { address, process, config_file }
    }

    /// Opens a client connection.
    pub async fn connect(&self) -> Client {
        Client::connect(self.address).await
    }

    /// Sends a request over a new connection.
    pub async fn send_request(&self, request: &str) -> Client {
        let mut client = self.connect().await;
        client.send(request).await;
        client
    }

    /// Sends a request over a new connection and returns the response.
    pub async fn exchange(&self, request: &str) -> Message {
        self.connect().await.exchange(request).await
    }

    /// Sends a GET request for a path over a new connection and returns the response.
    pub async fn get(&self, path: &str) -> Message {
        self.exchange(&get_request(path, "5000m")).await
    }

    /// The status of a readiness request: 200 if the agent is ready.
    pub async fn readiness_status(&self) -> u16 {
        self.exchange(READY_REQUEST).await.status()
    }

    /// Waits until the agent is ready.
    pub async fn wait_until_ready(&self) {
        within_time_limit("readiness", async {
            while self.readiness_status().await != 200 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        })
        .await;
    }

    /// Starts the graceful shutdown.
    pub async fn send_sigterm(&self) {
        self.send_signal("-TERM").await;
    }

    /// Makes the agent reload its configuration file.
    pub async fn send_sighup(&self) {
        self.send_signal("-HUP").await;
    }

    async fn send_signal(&self, signal: &str) {
        let id = self.process_id().to_string();
        let sent = Command::new("kill").args([signal, &id]).status().await.expect("kill runs");
        assert!(sent.success());
    }

    fn process_id(&self) -> u32 {
        self.process.id().expect("a running process")
    }

    /// The peak resident memory of the process, in kB.
    pub fn peak_memory_kb(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.process_id()));
        let status = status.expect("a status");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a peak");
        peak.trim().trim_end_matches(" kB").parse().expect("a number")
    }

    /// Replaces the text of the configuration file, which the agent reads at the next SIGHUP.
    pub fn replace_config(&self, text: &str) {
        self.config_file.replace(text);
    }

    /// Waits until the process has exited.
    pub async fn wait_for_exit(&mut self) -> ExitStatus {
        within_time_limit("the agent's exit", self.process.wait()).await.expect("a status")
    }
}

/// Reads the log up to the line with the address that the agent listens on.
async fn listen_address(log: &mut Lines<BufReader<ChildStderr>>) -> SocketAddr {
    loop {
        let line = within_time_limit("the agent's start", log.next_line()).await;
        let line = line.expect("a log").expect("a line");
        if let Some((_, address)) = line.split_once("listening on ") {
            return address.parse().expect("an address");
        }
    }
}
