//! The agent's configuration at its start: the `PROXY_*` variables and the file that `PROXY_CONFIG` names
//! (DEPLOY page, "What an agent is told").

use crate::endpoint_list::EndpointList;
use balancer_core::{DiscoveryMode, Settings, SettingsError};
use balancer_settings::{hash_name, HostSettings, WireSettings};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The limit on file descriptors if the configuration sets none. It suits small machines.
const DEFAULT_SOCKETS: usize = 1024;
/// The lowest limit on file descriptors that the agent can serve with.
const MIN_SOCKETS: usize = 80;
/// The highest limit on file descriptors that the agent makes use of.
const MAX_SOCKETS: usize = 1 << 20;
/// The agent's name if the configuration sets none.
const DEFAULT_NAME: &str = "agent";
/// The variable with the path of the configuration file.
const CONFIG_VARIABLE: &str = "PROXY_CONFIG";
/// The variable with the address that the agent listens on.
const LISTEN_VARIABLE: &str = "PROXY_LISTEN";
/// The variable with the address of discovery.
const DISCOVERY_VARIABLE: &str = "PROXY_DISCOVERY";
/// The variable with the agent's name.
const NAME_VARIABLE: &str = "PROXY_NAME";

/// Why the agent cannot use a configuration.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A required variable is set neither in the environment nor in the file.
    #[error("{variable} is not set")]
    MissingVariable {
        /// The variable.
        variable: &'static str,
    },
    /// The file cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The file's content is not a configuration.
    #[error("{} is not a valid configuration: {source}", path.display())]
    Malformed {
        /// The file.
        path: PathBuf,
        /// Where in the file, and what was expected.
        source: serde_json::Error,
    },
    /// The file has no discovery address.
    #[error("the configuration file has no discovery address")]
    MissingDiscovery,
    /// A value is not an address.
    #[error("{key} is {value:?}, which is not an address (IP:port)")]
    BadAddress {
        /// The variable or key.
        key: &'static str,
        /// Its value.
        value: String,
    },
    /// The balancer cannot work with the settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A class has no name, so that no request can belong to it.
    #[error("class {class} of the settings has no name")]
    UnnamedClass {
        /// Its index, from 0.
        class: usize,
    },
    /// The limit on file descriptors is too low.
    #[error("limits.sockets is below {MIN_SOCKETS}, the least that the agent can serve with")]
    TooFewSockets,
    /// The cached endpoint list cannot be parsed.
    #[error("known is not an endpoint list")]
    BadEndpointList,
}

/// The agent's configuration.
#[derive(Debug)]
pub struct Config {
    /// The agent's name, for its log.
    pub name: String,
    /// Where the agent accepts the application's connections.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The seed of the balancer's random numbers.
    pub seed: u64,
    /// Most file descriptors that the process may hold.
    pub max_sockets: usize,
    /// The balancer's settings.
    pub settings: Settings,
    /// The settings that the balancer does not need: names, and limits of sockets.
    pub host_settings: HostSettings,
    /// The endpoint list to start with, until discovery sends one.
    pub cached_endpoints: EndpointList,
}

/// The part of the configuration file that the agent reads.
#[derive(Deserialize)]
struct ConfigFile {
    #[serde(default)]
    name: Option<String>,
    #[serde(default)]
    listen: Option<String>,
    #[serde(default)]
    discovery: Option<String>,
    #[serde(default)]
    seed: Option<String>,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    known: serde_json::Value,
    settings: WireSettings,
}

/// The limits of the process.
#[derive(Default, Deserialize)]
#[serde(default)]
struct Limits {
    sockets: Option<usize>,
}

impl ConfigFile {
    /// Reads the file that `PROXY_CONFIG` names.
    fn read(variable: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let missing = ConfigError::MissingVariable { variable: CONFIG_VARIABLE };
        let path = variable(CONFIG_VARIABLE).map(PathBuf::from).ok_or(missing)?;
        let bytes = match std::fs::read(&path) {
            Ok(bytes) => bytes,
            Err(source) => return Err(ConfigError::Unreadable { path, source }),
        };
        serde_json::from_slice(&bytes).map_err(|source| ConfigError::Malformed { path, source })
    }
}

fn parse_address(key: &'static str, value: String) -> Result<SocketAddr, ConfigError> {
    value.parse().map_err(|_| ConfigError::BadAddress { key, value })
}

/// Reads the address of discovery from the configuration file, which may have been replaced since the start.
/// `PROXY_DISCOVERY` applies to the start only and does not override it.
///
/// # Errors
///
/// If the file cannot be read or has no such address.
pub fn read_discovery_address(variable: impl Fn(&str) -> Option<String>) -> Result<SocketAddr, ConfigError> {
    let value = ConfigFile::read(variable)?.discovery.ok_or(ConfigError::MissingDiscovery)?;
    parse_address("discovery", value)
}

impl Config {
    /// Loads the configuration from the variables and the file.
    ///
    /// # Errors
    ///
    /// The first fault that is found, in one line for the operator.
    pub fn load(variable: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        Self::from_file(ConfigFile::read(&variable)?, variable)
    }

    fn from_file(file: ConfigFile, variable: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let address = |name: &'static str, file_value: Option<String>| {
            let value = variable(name).or(file_value);
            parse_address(name, value.ok_or(ConfigError::MissingVariable { variable: name })?)
        };
        let listen = address(LISTEN_VARIABLE, file.listen)?;
        let discovery = address(DISCOVERY_VARIABLE, file.discovery)?;
        let host_settings = HostSettings::from(&file.settings);
        let settings = socket_settings(Settings::from(&file.settings), &host_settings);
        settings.validate()?;
        check_class_names(&host_settings)?;
        Ok(Config {
            name: variable(NAME_VARIABLE).or(file.name).unwrap_or_else(|| DEFAULT_NAME.into()),
            listen,
            discovery,
            seed: parse_seed(&file.seed.unwrap_or_default()),
            max_sockets: max_sockets(&file.limits)?,
            settings,
            host_settings,
            cached_endpoints: parse_cached_endpoints(&file.known)?,
        })
    }
}

fn check_class_names(host_settings: &HostSettings) -> Result<(), ConfigError> {
    match host_settings.class_names.iter().position(String::is_empty) {
        Some(class) => Err(ConfigError::UnnamedClass { class }),
        None => Ok(()),
    }
}

fn max_sockets(limits: &Limits) -> Result<usize, ConfigError> {
    let sockets = limits.sockets.unwrap_or(DEFAULT_SOCKETS);
    if sockets < MIN_SOCKETS {
        return Err(ConfigError::TooFewSockets);
    }
    Ok(sockets.min(MAX_SOCKETS))
}

/// Parses the cached endpoint list; without one the agent starts with an empty list.
fn parse_cached_endpoints(known: &serde_json::Value) -> Result<EndpointList, ConfigError> {
    if known.is_null() {
        return Ok(EndpointList::default());
    }
    EndpointList::parse(known).ok_or(ConfigError::BadEndpointList)
}

/// Adapts the settings to real sockets.
fn socket_settings(settings: Settings, host_settings: &HostSettings) -> Settings {
    Settings {
        // Changes of the endpoint list arrive only while a watch is open.
        discovery_mode: DiscoveryMode::OnRequest,
        // Changes count as notified even while no watch is open, so a broken watch must be reopened well within
        // the drain grace, however often it breaks.
        max_poll_interval: settings.max_poll_interval.min(settings.drain_grace),
        // In the simulator connections open or fail at once, so the setting reaches the balancer only here.
        connect_timeout: host_settings.connect_timeout,
        ..settings
    }
}

/// A seed from any text: hexadecimal numbers, as the deployment writes them, by value; other text by its hash.
fn parse_seed(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or_else(|_| hash_name(text))
}

#[cfg(test)]
mod tests;
