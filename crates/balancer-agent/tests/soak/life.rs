//! One life of an agent, from its start to SIGKILL.

use super::clients::{draw_bad_bytes, Class, Client};
use super::common::agent::Agent;
use super::common::config::{AgentConfig, RequestClass};
use super::common::crowd::{Crowd, CrowdClient};
use super::common::discovery::{up_entry, TestDiscovery};
use super::ledger::{Ledger, Tally};
use super::servers::start_server;
use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until};

/// The least memory that a deployment gives a process, in MB (TERMS page).
const MEMORY_LIMIT_MB: u64 = 32;
/// The most descriptors that a deployment gives a process (DEPLOY page).
const SOCKET_LIMIT: usize = 1_024;
/// The time from SIGTERM to SIGKILL is at least this long plus the longest class timeout (PROTOCOL page).
const KILL_DELAY: Duration = Duration::from_millis(700);
/// The longest class timeout that counts for SIGKILL (PROTOCOL page).
const MAX_COUNTED_TIMEOUT: Duration = Duration::from_secs(3);
/// The number of servers.
const SERVERS: u64 = 4;
/// The number of clients that behave.
const CLIENTS: usize = 16;
/// The number of bad clients that a crowd connects at once.
const CROWD_SIZE: usize = 300;
/// The interval at which memory and descriptors are read.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// One life of an agent.
pub struct Life {
    seed: u64,
    rng: fastrand::Rng,
    ledger: Ledger,
    classes: Vec<Class>,
}

/// What happened in a life.
pub struct Report {
    /// The seed of the life.
    pub seed: u64,
    /// What broke a rule or passed a limit, each with the seed.
    pub violations: Vec<String>,
    has_crowd: bool,
    tally: Tally,
    peak_kb: usize,
    peak_descriptors: usize,
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Report { seed, violations, has_crowd, tally, peak_kb, peak_descriptors } = self;
        write!(
            formatter,
            "seed {seed}{}: {tally:?}, peak {peak_kb} kB, {peak_descriptors} descriptors, {} violations",
            if *has_crowd { " with a crowd" } else { "" },
            violations.len()
        )
    }
}

/// The highest use of memory and descriptors.
#[derive(Default, Clone, Copy)]
struct PeakUse {
    memory_kb: usize,
    descriptors: usize,
}

impl Life {
    /// Draws the settings of a life.
    pub fn new(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut class = |name, may_run_twice| {
            let timeout = Duration::from_millis(rng.u64(800..2_500));
            Class { name, may_run_twice, timeout }
        };
        let classes = vec![class("read", true), class("save", true), class("pay", false)];
        Life { seed, rng, ledger: Ledger::default(), classes }
    }

    /// Runs the life and checks it.
    pub async fn run(mut self) -> Report {
        let has_crowd = self.seed % 2 == 0;
        let mut servers = Vec::new();
        for number in 0..SERVERS {
            let address = start_server(self.seed * SERVERS + number, self.ledger.clone()).await;
            servers.push(up_entry(&format!("s{number}"), address));
        }
        let discovery = TestDiscovery::silent().await;
        let mut agent = Agent::start(&self.config(discovery.address, &servers)).await;
        let sigterm_at = watch::Sender::new(None);
        let killed_at = watch::Sender::new(None);
        let mut clients = self.start_clients(agent.address, &sigterm_at, &killed_at);

        let peak = self.run_until_kill(&mut agent, has_crowd, &sigterm_at, &killed_at).await;
        clients.abort_late().await;
        self.report(has_crowd, peak)
    }

    fn config(&self, discovery: SocketAddr, servers: &[serde_json::Value]) -> AgentConfig {
        let classes = [RequestClass::Read, RequestClass::Save, RequestClass::Pay];
        let config = AgentConfig::new(discovery, servers)
            .with_memory_limit_mb(MEMORY_LIMIT_MB)
            .with_socket_limit(SOCKET_LIMIT);
        classes.into_iter().zip(&self.classes).fold(config, |config, (class, settings)| {
            config
                .with_class_timeout_ms(class, settings.timeout.as_millis() as u64)
                .with_latency_objective_ms(class, settings.timeout.as_millis() as u64 / 2)
        })
    }

    fn start_clients(
        &mut self,
        agent: SocketAddr,
        sigterm_at: &watch::Sender<Option<Instant>>,
        killed_at: &watch::Sender<Option<Instant>>,
    ) -> ClientTasks {
        let mut tasks = JoinSet::new();
        for number in 0..CLIENTS {
            let client = Client {
                number,
                agent,
                classes: self.classes.clone(),
                sigterm_at: sigterm_at.subscribe(),
                killed_at: killed_at.subscribe(),
                ledger: self.ledger.clone(),
                rng: self.rng.fork(),
            };
            tasks.spawn(client.run());
        }
        ClientTasks(tasks)
    }

    /// Sends the signals of the life. Clients use the agent until SIGKILL.
    async fn run_until_kill(
        &mut self,
        agent: &mut Agent,
        has_crowd: bool,
        sigterm_at: &watch::Sender<Option<Instant>>,
        killed_at: &watch::Sender<Option<Instant>>,
    ) -> PeakUse {
        let mut peak = PeakUse::default();
        let mut crowd = None;
        for _ in 0..3 {
            if has_crowd {
                let clients = draw_crowd(self.rng.fork()).await;
                crowd = Some(Crowd::send(agent.address, clients).await);
            }
            if self.rng.bool() {
                agent.send_sighup().await;
            }
            let time = Duration::from_millis(self.rng.u64(400..1_200));
            self.watch_process(agent, &mut peak, Instant::now() + time, false).await;
        }
        let longest = self.classes.iter().map(|class| class.timeout).max().unwrap_or_default();
        let signalled_at = Instant::now();
        agent.send_sigterm().await;
        sigterm_at.send_replace(Some(signalled_at));
        if self.rng.bool() {
            agent.send_sighup().await;
            agent.send_sigterm().await;
        }
        let kill_at = signalled_at + KILL_DELAY + longest.min(MAX_COUNTED_TIMEOUT);
        self.watch_process(agent, &mut peak, kill_at, true).await;
        killed_at.send_replace(Some(Instant::now()));
        let _ = agent.process.start_kill();
        drop(crowd);
        peak
    }

    /// Reads memory and descriptors until a moment, or until the process has ended. It may end only after
    /// SIGTERM, and then with exit code 0.
    async fn watch_process(&self, agent: &mut Agent, peak: &mut PeakUse, until: Instant, may_end: bool) {
        while Instant::now() < until {
            if let Ok(Some(status)) = agent.process.try_wait() {
                if !may_end || !status.success() {
                    self.ledger.record_violation(format!("the process ended by itself: {status}"));
                }
                sleep_until(until.into()).await;
                return;
            }
            // The process may end between the check and the reads.
            if let Some(memory_kb) = agent.try_peak_memory_kb() {
                peak.memory_kb = peak.memory_kb.max(memory_kb);
            }
            peak.descriptors = peak.descriptors.max(agent.descriptor_count());
            sleep(SAMPLE_INTERVAL).await;
        }
    }

    fn report(self, has_crowd: bool, peak: PeakUse) -> Report {
        let limit_kb = MEMORY_LIMIT_MB as usize * 1_000_000 / 1_024;
        let (tally, mut violations) = self.ledger.check();
        if peak.memory_kb > limit_kb {
            violations.push(format!("memory: {} kB of {limit_kb}", peak.memory_kb));
        }
        if peak.descriptors > SOCKET_LIMIT {
            violations.push(format!("descriptors: {} of {SOCKET_LIMIT}", peak.descriptors));
        }
        let seed = self.seed;
        let violations = violations.into_iter().map(|text| format!("seed {seed}: {text}")).collect();
        Report {
            seed,
            violations,
            has_crowd,
            tally,
            peak_kb: peak.memory_kb,
            peak_descriptors: peak.descriptors,
        }
    }
}

/// Draws the clients of a crowd on a thread of its own, which takes longer than other tasks should wait.
async fn draw_crowd(mut rng: fastrand::Rng) -> Vec<CrowdClient> {
    let draw = move || (0..CROWD_SIZE).map(|_| CrowdClient::sending(draw_bad_bytes(&mut rng))).collect();
    tokio::task::spawn_blocking(draw).await.expect("the crowd should be drawn")
}

/// The tasks of the clients that behave.
struct ClientTasks(JoinSet<()>);

impl ClientTasks {
    /// Waits until the clients have noticed the end of the agent.
    async fn abort_late(&mut self) {
        while self.0.join_next().await.is_some() {}
    }
}
