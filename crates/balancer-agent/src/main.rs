//! A client-side load-balancing agent.
//!
//! The agent runs beside its clients, accepts their HTTP/1.1 requests, and sends them over HTTP/1.1 to the
//! servers that [`balancer_core`] selects.

mod activity;
mod body;
mod clock;
mod config;
mod discovery;
mod driver;
mod endpoint_list;
mod framing;
mod headers;
mod http_client;
mod listener;
mod logging;
mod memory;
mod request;
mod request_ids;
mod upstream;

use balancer_core::{Settings, SettingsError};
use config::{Config, ConfigError};
use driver::Driver;
use listener::Listener;
use logging::log_line;
use memory::MemoryBudget;
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// The number of file descriptors that are reserved for files, discovery and the runtime.
const RESERVED_SOCKETS: usize = 24;
/// The fraction of the unreserved file descriptors that client connections may use. Half of them is enough,
/// because clients use at most a third of all descriptors for their requests (TERMS page).
const CLIENT_SOCKET_FRACTION: f64 = 0.5;
/// The exit code of an agent that cannot start or continue.
const EXIT_FAILURE: u8 = 2;

/// An error that prevents the agent from starting or continuing.
#[derive(Debug, thiserror::Error)]
enum AgentError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error("cannot start the runtime: {0}")]
    Runtime(io::Error),
    #[error("cannot install a handler for {signal}: {source}")]
    Signal { signal: &'static str, source: io::Error },
    #[error("cannot listen on {address}: {source}")]
    Listen { address: SocketAddr, source: io::Error },
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error("the balancer's driver has ended unexpectedly")]
    DriverStopped,
}

/// The maximum numbers of file descriptors that connections may use.
struct SocketLimits {
    /// The maximum number of descriptors for client connections.
    clients: usize,
    /// The maximum number of descriptors for connections to servers.
    servers: usize,
}

impl SocketLimits {
    /// Divides the file descriptors that the process may open, without the reserved ones, between clients and
    /// servers.
    fn divide(max_sockets: usize) -> Self {
        let unreserved = max_sockets.saturating_sub(RESERVED_SOCKETS);
        let clients = (unreserved as f64 * CLIENT_SOCKET_FRACTION) as usize;
        SocketLimits { clients, servers: unreserved - clients }
    }
}

fn main() -> ExitCode {
    logging::log_panics();
    let exit_code = match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log_line!("balancer-agent: {error}");
            ExitCode::from(EXIT_FAILURE)
        }
    };
    logging::write_pending_lines();
    exit_code
}

/// Returns the value of an environment variable, or `None` if it is not set or is not valid Unicode.
fn environment_variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

/// Loads the configuration, and serves clients on a new runtime until the agent shuts down.
fn run() -> Result<(), AgentError> {
    let config = Config::load(environment_variable)?;
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(AgentError::Runtime)?;
    tokio::task::LocalSet::new().block_on(&runtime, serve(config))
}

/// Serves clients until SIGTERM, and then shuts down gracefully. Reloads the address of discovery at SIGHUP.
async fn serve(config: Config) -> Result<(), AgentError> {
    let mut terminate = install_signal_handler(SignalKind::terminate(), "SIGTERM")?;
    let hangup = install_signal_handler(SignalKind::hangup(), "SIGHUP")?;
    let name = config.name.clone();
    let address = config.listen_address;
    let listen_error = |source| AgentError::Listen { address, source };
    let socket = listener::listen(address).map_err(listen_error)?;
    let bound_address = socket.local_addr().map_err(listen_error)?;
    let longest_timeout = longest_timeout(&config.settings);
    let limits = SocketLimits::divide(config.max_sockets);
    let memory = MemoryBudget::for_process(config.max_memory_bytes);
    log_line!("{name}: {} bytes of memory for connections and messages", memory.capacity());
    let driver = Driver::start(config, limits.servers, memory.clone())?;
    let mut driver_task = tokio::task::spawn_local(driver.clone().run());
    let listener = Listener::new(driver.clone(), limits.clients, longest_timeout, memory);
    let accept_task = tokio::task::spawn_local(listener.clone().accept(socket));
    log_line!("{name}: listening on {bound_address}");

    tokio::task::spawn_local(reload_on_hangup(hangup, driver.clone(), name.clone()));
    tokio::select! {
        _ = terminate.recv() => {}
        // The driver's task ends only if it panics. Without it, the balancer's timers would never be due, and
        // requests could wait until their deadlines. The agent exits, so that it is restarted.
        _ = &mut driver_task => return Err(AgentError::DriverStopped),
    }
    let open_connections = listener.shut_down(accept_task).await;
    driver.activity().log_summary();
    if open_connections == 0 {
        log_line!("{name}: all requests are answered");
    } else {
        log_line!(
            "{name}: the shutdown's time is over, {open_connections} client connections are still open"
        );
    }
    Ok(())
}

/// Installs a handler for a signal. `name` is the signal's name in error messages.
fn install_signal_handler(kind: SignalKind, name: &'static str) -> Result<Signal, AgentError> {
    signal(kind).map_err(|source| AgentError::Signal { signal: name, source })
}

/// Returns the longest timeout of the request classes, which is the longest that clients wait for a response.
fn longest_timeout(settings: &Settings) -> Duration {
    let longest = settings.classes.iter().map(|class| class.timeout).max();
    Duration::from_micros(longest.unwrap_or_default().as_micros())
}

/// Reloads the address of discovery from the configuration file at each SIGHUP, also during a graceful
/// shutdown. Other changes to the file are ignored.
async fn reload_on_hangup(mut hangup: Signal, driver: Rc<Driver>, name: String) {
    while hangup.recv().await.is_some() {
        match config::read_discovery_address(environment_variable) {
            Ok(address) => {
                log_line!("{name}: SIGHUP: discovery is now at {address}");
                driver.set_discovery_address(address);
            }
            Err(error) => log_line!("{name}: SIGHUP: {error}; the configuration is unchanged"),
        }
    }
}
