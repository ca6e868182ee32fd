//! A client-side load-balancing agent. It accepts HTTP/1.1 requests from the application beside it and sends
//! them to the servers over HTTP/1.1, as [`balancer_core`] decides.

mod clock;
mod config;
mod discovery;
mod driver;
mod endpoint_list;
mod framing;
mod headers;
mod http_client;
mod listener;
mod request;
mod upstream;

use balancer_core::{Settings, SettingsError};
use config::{Config, ConfigError};
use driver::Driver;
use listener::Listener;
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// File descriptors kept for files, discovery and the runtime.
const RESERVED_SOCKETS: usize = 24;
/// The share of the other descriptors that is for the application's connections. The application holds at most
/// a third of all descriptors for its requests (TERMS page).
const CLIENT_SHARE: f64 = 0.5;
/// The exit code of an agent that cannot start or continue.
const EXIT_FAILURE: u8 = 2;

/// Why the agent ended, other than by a graceful shutdown.
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

/// How many descriptors connections may use.
struct SocketLimits {
    /// For the application's connections.
    clients: usize,
    /// For connections to servers.
    servers: usize,
}

impl SocketLimits {
    /// Divides all descriptors of the process.
    fn divide(max_sockets: usize) -> Self {
        let sockets = max_sockets.saturating_sub(RESERVED_SOCKETS);
        let clients = (sockets as f64 * CLIENT_SHARE) as usize;
        SocketLimits { clients, servers: sockets - clients }
    }
}

fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("balancer-agent: {error}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

fn environment_variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

fn start() -> Result<(), AgentError> {
    let config = Config::load(environment_variable)?;
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(AgentError::Runtime)?;
    tokio::task::LocalSet::new().block_on(&runtime, serve(config))
}

/// Serves until SIGTERM, and then until all accepted requests are answered. SIGHUP reloads the configuration.
async fn serve(config: Config) -> Result<(), AgentError> {
    let mut terminate = install_signal_handler(SignalKind::terminate(), "SIGTERM")?;
    let hangup = install_signal_handler(SignalKind::hangup(), "SIGHUP")?;
    let name = config.name.clone();
    let address = config.listen;
    let listen_error = |source| AgentError::Listen { address, source };
    let socket = TcpListener::bind(address).await.map_err(listen_error)?;
    let bound_address = socket.local_addr().map_err(listen_error)?;
    let longest_deadline = longest_deadline(&config.settings);
    let limits = SocketLimits::divide(config.max_sockets);
    let driver = Driver::start(config, limits.servers)?;
    let mut driver_task = tokio::task::spawn_local(driver.clone().run());
    let listener = Listener::new(driver.clone(), limits.clients, longest_deadline);
    let accept_task = tokio::task::spawn_local(listener.clone().accept(socket));
    eprintln!("{name}: listening on {bound_address}");

    tokio::task::spawn_local(reload_on_hangup(hangup, driver, name.clone()));
    tokio::select! {
        _ = terminate.recv() => {}
        // Without the driver, requests would be accepted but never answered. The agent ends, so that it is
        // restarted.
        _ = &mut driver_task => return Err(AgentError::DriverStopped),
    }
    listener.shut_down(accept_task).await;
    eprintln!("{name}: all requests are answered");
    Ok(())
}

fn install_signal_handler(kind: SignalKind, name: &'static str) -> Result<Signal, AgentError> {
    signal(kind).map_err(|source| AgentError::Signal { signal: name, source })
}

/// The longest timeout of all request classes.
fn longest_deadline(settings: &Settings) -> Duration {
    let longest = settings.classes.iter().map(|class| class.timeout).max();
    Duration::from_micros(longest.unwrap_or_default().as_micros())
}

/// Reads the configuration file again at each SIGHUP, also during a graceful shutdown. Only the address of
/// discovery is taken from it.
async fn reload_on_hangup(mut hangup: Signal, driver: Rc<Driver>, name: String) {
    while hangup.recv().await.is_some() {
        match config::read_discovery_address(environment_variable) {
            Ok(address) => {
                eprintln!("{name}: SIGHUP: discovery is now at {address}");
                driver.relocate_discovery(address);
            }
            Err(error) => eprintln!("{name}: SIGHUP: {error}; the configuration is unchanged"),
        }
    }
}
