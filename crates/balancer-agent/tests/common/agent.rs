//! Starts, signals and inspects the process of the agent under test.

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
pub const AGENT_EXECUTABLE: &str = env!("CARGO_BIN_EXE_balancer-agent");

/// A running agent. Its process is killed on drop.
pub struct Agent {
    /// The address that the agent listens on.
    pub address: SocketAddr,
    /// The agent's process.
    pub process: Child,
    config_file: ConfigFile,
}

/// Returns a command that starts the agent with this configuration file. The command's environment holds only
/// `PROXY_CONFIG`.
pub fn agent_command(config_file: &ConfigFile) -> Command {
    let mut command = Command::new(AGENT_EXECUTABLE);
    command.env_clear().env("PROXY_CONFIG", config_file.path()).stderr(Stdio::piped()).kill_on_drop(true);
    command
}

impl Agent {
    /// Starts an agent with this configuration and waits until it listens.
    pub async fn start(config: &AgentConfig) -> Self {
        let config_file = ConfigFile::create(&config.to_text());
        Self::spawn(agent_command(&config_file), config_file).await
    }

    /// Spawns a command that executes the agent with this configuration file, and waits until the agent
    /// listens.
    pub async fn spawn(mut command: Command, config_file: ConfigFile) -> Self {
        let mut process = command.spawn().expect("the agent's process should start");
        let mut log =
            BufReader::new(process.stderr.take().expect("the agent's standard error should be piped"))
                .lines();
        let address = read_listen_address(&mut log).await;
        // Reads and discards the rest of the log, because a full pipe would block the agent.
        tokio::spawn(async move { while let Ok(Some(_)) = log.next_line().await {} });
        Agent { address, process, config_file }
    }

    /// Opens a client connection to the agent.
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

    /// Sends a readiness request and returns the status code of the response, which is 200 if the agent is
    /// ready.
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

    /// Sends SIGTERM, which starts the graceful shutdown.
    pub async fn send_sigterm(&self) {
        self.send_signal("-TERM").await;
    }

    /// Sends SIGHUP, which makes the agent reload its configuration file.
    pub async fn send_sighup(&self) {
        self.send_signal("-HUP").await;
    }

    async fn send_signal(&self, signal: &str) {
        let id = self.process_id().to_string();
        let status =
            Command::new("kill").args([signal, &id]).status().await.expect("the kill command should run");
        assert!(status.success());
    }

    fn process_id(&self) -> u32 {
        self.process.id().expect("the agent should be running")
    }

    /// Returns the peak resident memory of the agent's process, in kB.
    pub fn peak_memory_kb(&self) -> usize {
        self.try_peak_memory_kb().expect("the process status should contain VmHWM as a number of kB")
    }

    /// Returns the peak resident memory of the agent's process, in kB, or `None` if the process has ended.
    pub fn try_peak_memory_kb(&self) -> Option<usize> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.process.id()?)).ok()?;
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        peak.trim().trim_end_matches(" kB").parse().ok()
    }

    /// Returns the number of descriptors that the agent's process has open, or 0 if it has ended.
    pub fn descriptor_count(&self) -> usize {
        let Some(id) = self.process.id() else { return 0 };
        std::fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count)
    }

    /// Replaces the text of the configuration file. The agent reads the new text at the next SIGHUP.
    pub fn replace_config(&self, text: &str) {
        self.config_file.replace(text);
    }

    /// Waits until the agent's process has exited and returns its exit status.
    pub async fn wait_for_exit(&mut self) -> ExitStatus {
        within_time_limit("the agent's exit", self.process.wait())
            .await
            .expect("the exit status should be available")
    }
}

/// Reads the agent's log up to the line with its listen address, and returns the address.
async fn read_listen_address(log: &mut Lines<BufReader<ChildStderr>>) -> SocketAddr {
    loop {
        let line = within_time_limit("the agent's start", log.next_line()).await;
        let line =
            line.expect("the log should be readable").expect("the agent should log its listen address");
        if let Some((_, address)) = line.split_once("listening on ") {
            return address.parse().expect("the listen address should be valid");
        }
    }
}
