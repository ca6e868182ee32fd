//! The agent's configuration at its start: the `PROXY_*` variables and the file that `PROXY_CONFIG` names
//! (DEPLOY page, "What an agent is told").

use crate::endpoint_list::EndpointList;
use balancer_core::{DiscoveryMode, Settings, SettingsError};
use balancer_settings::{hash_name, HostSettings, WireSettings};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;

/// File descriptors where the configuration names no limit: machines are small.
const DEFAULT_SOCKETS: usize = 1024;
/// Fewer leave no room to serve; more than the maximum no process may hold.
const MIN_SOCKETS: usize = 80;
const MAX_SOCKETS: usize = 1 << 20;
/// The agent's name where the configuration gives none.
const DEFAULT_NAME: &str = "agent";

/// A configuration that the agent cannot start with.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A variable that has to be set is not.
    #[error("{variable} is not set")]
    MissingVariable {
        /// Which one.
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
    /// The file does not hold a configuration.
    #[error("{} is no configuration: {source}", path.display())]
    Malformed {
        /// The file.
        path: PathBuf,
        /// Where and what was expected.
        source: serde_json::Error,
    },
    /// The file names no address of discovery.
    #[error("the file names no discovery")]
    MissingDiscovery,
    /// What should be an address is none.
    #[error("{key} is {value:?}; an address was expected")]
    BadAddress {
        /// The variable or key.
        key: &'static str,
        /// What it holds.
        value: String,
    },
    /// No balancer can work with the settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A class has no name, so no request could be of it.
    #[error("settings give class {class} no name")]
    UnnamedClass {
        /// Its index.
        class: usize,
    },
    /// The process may hold too few descriptors.
    #[error("limits.sockets is below {MIN_SOCKETS}; that leaves no room to serve")]
    TooFewSockets,
    /// The cached endpoint list makes no sense.
    #[error("known is no server list")]
    BadEndpointList,
}

/// Everything that one start of the agent goes by.
#[derive(Debug)]
pub struct Config {
    /// The agent's name, for its log.
    pub name: String,
    /// Where the application connects.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// The seed for random numbers.
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub max_sockets: usize,
    /// What the decisions go by.
    pub settings: Settings,
    /// Names and limits that only sockets need.
    pub host_settings: HostSettings,
    /// The endpoint list as the agent last had it.
    pub cached_endpoints: EndpointList,
}

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

#[derive(Default, Deserialize)]
#[serde(default)]
struct Limits {
    sockets: Option<usize>,
}

impl ConfigFile {
    fn read(variable: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let path = variable("PROXY_CONFIG");
        let path = PathBuf::from(path.ok_or(ConfigError::MissingVariable { variable: "PROXY_CONFIG" })?);
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

/// Where the file, which may have been replaced since the start, says that discovery is. `PROXY_DISCOVERY` is
/// the address of the start and does not override it.
///
/// # Errors
///
/// If the file cannot be read or names no address.
pub fn read_discovery_address(variable: impl Fn(&str) -> Option<String>) -> Result<SocketAddr, ConfigError> {
    let value = ConfigFile::read(variable)?.discovery.ok_or(ConfigError::MissingDiscovery)?;
    parse_address("discovery", value)
}

impl Config {
    /// Reads the configuration of this process.
    ///
    /// # Errors
    ///
    /// The first thing that is missing or cannot be worked with, in one line for the operator.
    pub fn load(variable: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        Self::from_file(ConfigFile::read(&variable)?, variable)
    }

    fn from_file(file: ConfigFile, variable: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let address = |name: &'static str, own: Option<String>| {
            let value = variable(name).or(own).ok_or(ConfigError::MissingVariable { variable: name })?;
            parse_address(name, value)
        };
        let listen = address("PROXY_LISTEN", file.listen)?;
        let discovery = address("PROXY_DISCOVERY", file.discovery)?;
        let host_settings = HostSettings::from(&file.settings);
        let settings = socket_settings(Settings::from(&file.settings), &host_settings);
        settings.check()?;
        if let Some(class) = host_settings.class_names.iter().position(String::is_empty) {
            return Err(ConfigError::UnnamedClass { class });
        }
        let max_sockets = file.limits.sockets.unwrap_or(DEFAULT_SOCKETS);
        if max_sockets < MIN_SOCKETS {
            return Err(ConfigError::TooFewSockets);
        }
        let cached_endpoints = match file.known {
            serde_json::Value::Null => EndpointList::default(),
            value => EndpointList::parse(&value).ok_or(ConfigError::BadEndpointList)?,
        };
        Ok(Config {
            name: variable("PROXY_NAME").or(file.name).unwrap_or_else(|| DEFAULT_NAME.into()),
            listen,
            discovery,
            seed: parse_seed(&file.seed.unwrap_or_default()),
            max_sockets: max_sockets.min(MAX_SOCKETS),
            settings,
            host_settings,
            cached_endpoints,
        })
    }
}

/// The settings as they hold on real sockets.
fn socket_settings(settings: Settings, host_settings: &HostSettings) -> Settings {
    Settings {
        // Nothing is pushed over these sockets: changes of the list arrive only over an open watch.
        discovery_mode: DiscoveryMode::OnRequest,
        // What discovery has counts as notified whether or not a watch is open, so a broken watch must be
        // reopened well within the drain grace, however often it breaks.
        max_poll_interval: settings.max_poll_interval.min(settings.drain_grace),
        // In the simulator a connection comes up in the instant of the decision, or the attempt has failed.
        connect_timeout: host_settings.connect_timeout,
        ..settings
    }
}

/// Any text makes a seed; only the form of the deployment's own is read as a number.
fn parse_seed(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or_else(|_| hash_name(text))
}

#[cfg(test)]
mod tests;
