//! A client-side load-balancing agent: HTTP/1.1 from the application beside it, HTTP/1.1 to the servers, and
//! the decisions of `balancer_core` in between.

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

use balancer_core::SettingsError;
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

/// Descriptors that are neither the application's nor the servers': files, discovery, the runtime's own.
const RESERVED_SOCKETS: usize = 24;
/// The part of the others that is the application's, which holds a third of all at most for its requests.
const CLIENT_SHARE: f64 = 0.5;
/// The exit code of an agent that cannot start or go on.
const EXIT_FAILURE: u8 = 2;

/// Why the agent ended, other than by a graceful shutdown.
#[derive(Debug, thiserror::Error)]
enum AgentError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error("cannot start the runtime: {0}")]
    Runtime(io::Error),
    #[error("cannot await {signal}: {source}")]
    Signal { signal: &'static str, source: io::Error },
    #[error("cannot listen on {address}: {source}")]
    Listen { address: SocketAddr, source: io::Error },
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error("the decisions have stopped")]
    DriverStopped,
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

/// Serves until SIGTERM, and then until all that came is answered. SIGHUP has the file read again.
async fn serve(config: Config) -> Result<(), AgentError> {
    let mut terminate = await_signal(SignalKind::terminate(), "SIGTERM")?;
    let hangup = await_signal(SignalKind::hangup(), "SIGHUP")?;
    let name = config.name.clone();
    let address = config.listen;
    let listen_error = |source| AgentError::Listen { address, source };
    let socket = TcpListener::bind(address).await.map_err(listen_error)?;
    let address = socket.local_addr().map_err(listen_error)?;
    let longest_deadline = config.settings.classes.iter().map(|class| class.deadline).max();
    let longest_deadline = Duration::from_micros(longest_deadline.unwrap_or_default().0);
    let sockets = config.max_sockets.saturating_sub(RESERVED_SOCKETS);
    let client_sockets = (sockets as f64 * CLIENT_SHARE) as usize;
    let driver = Driver::start(config, sockets - client_sockets)?;
    let mut driving = tokio::task::spawn_local(driver.clone().run());
    let listener = Listener::new(driver.clone(), client_sockets, longest_deadline);
    let accepting = tokio::task::spawn_local(listener.clone().accept(socket));
    eprintln!("{name}: listening on {address}");

    tokio::task::spawn_local(reload_on_hangup(hangup, driver, name.clone()));
    tokio::select! {
        _ = terminate.recv() => {}
        // Without its clock the agent would accept requests and answer none: better that it ends and is
        // restarted.
        _ = &mut driving => return Err(AgentError::DriverStopped),
    }
    listener.shut_down(accepting).await;
    eprintln!("{name}: all requests are answered");
    Ok(())
}

fn await_signal(kind: SignalKind, name: &'static str) -> Result<Signal, AgentError> {
    signal(kind).map_err(|source| AgentError::Signal { signal: name, source })
}

/// Has the file read again at each SIGHUP, during a graceful shutdown too.
async fn reload_on_hangup(mut hangup: Signal, driver: Rc<Driver>, name: String) {
    while hangup.recv().await.is_some() {
        match config::read_discovery_address(environment_variable) {
            Ok(address) => {
                eprintln!("{name}: discovery is at {address}");
                driver.relocate_discovery(address);
            }
            Err(error) => eprintln!("{name}: SIGHUP: {error}; all stays as it was"),
        }
    }
}
