//! The agent's configuration (DEPLOY page, "What an agent is told").
//!
//! At the start, the agent reads its configuration from the `PROXY_*` environment variables and from the file
//! whose path is in `PROXY_CONFIG`. If a value is set in both, the variable takes precedence.

use crate::endpoint_list::EndpointList;
use balancer_core::{DiscoveryMode, Settings, SettingsError};
use balancer_settings::{hash_name, HostSettings, WireSettings};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The limit on file descriptors if the configuration sets none in `limits.sockets`. The value suits small
/// machines.
const DEFAULT_SOCKETS: usize = 1024;
/// The lowest limit on file descriptors with which the agent can serve requests.
const MIN_SOCKETS: usize = 80;
/// The highest limit on file descriptors. A higher limit in the configuration is reduced to this value.
const MAX_SOCKETS: usize = 1 << 20;
/// The limit on memory if the configuration sets none in `limits.memory_mb`: the least that a deployment gives a
/// process (TERMS page), in MB.
const DEFAULT_MEMORY_MB: f64 = 32.0;
/// The number of bytes in a MB.
const BYTES_PER_MB: f64 = 1e6;
/// The agent's name if the configuration sets none.
const DEFAULT_NAME: &str = "agent";
/// The environment variable with the path of the configuration file.
const CONFIG_VARIABLE: &str = "PROXY_CONFIG";
/// The environment variable with the address that the agent listens on.
const LISTEN_VARIABLE: &str = "PROXY_LISTEN";
/// The environment variable with the address of discovery.
const DISCOVERY_VARIABLE: &str = "PROXY_DISCOVERY";
/// The environment variable with the agent's name.
const NAME_VARIABLE: &str = "PROXY_NAME";

/// An error in the agent's configuration.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A required value is set neither by its environment variable nor in the file.
    #[error("{variable} is not set")]
    MissingVariable {
        /// The environment variable.
        variable: &'static str,
    },
    /// The configuration file cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    Unreadable {
        /// The path of the file.
        path: PathBuf,
        /// The error that reading the file returned.
        source: std::io::Error,
    },
    /// The content of the file is not a valid configuration.
    #[error("{} is not a valid configuration: {source}", path.display())]
    Malformed {
        /// The path of the file.
        path: PathBuf,
        /// The parse error, with its position in the file.
        source: serde_json::Error,
    },
    /// The file contains no discovery address.
    #[error("the configuration file has no discovery address")]
    MissingDiscovery,
    /// A value is not a valid socket address.
    #[error("{key} is {value:?}, which is not an address (IP:port)")]
    BadAddress {
        /// The environment variable, or the key in the file.
        key: &'static str,
        /// The invalid value.
        value: String,
    },
    /// The balancer does not accept the settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A request class has no name, so no request can name its class.
    #[error("class {class} of the settings has no name")]
    UnnamedClass {
        /// The index of the class, counted from 0.
        class: usize,
    },
    /// The limit on file descriptors is too low.
    #[error("limits.sockets is below {MIN_SOCKETS}, the least that the agent can serve with")]
    TooFewSockets,
    /// The cached endpoint list in the file cannot be parsed.
    #[error("known is not an endpoint list")]
    BadEndpointList,
}

/// The agent's configuration.
#[derive(Debug)]
pub struct Config {
    /// The agent's name, which is written in log lines.
    pub name: String,
    /// The address on which the agent accepts client connections.
    pub listen_address: SocketAddr,
    /// The address of discovery.
    pub discovery_address: SocketAddr,
    /// The seed of the balancer's random number generator.
    pub seed: u64,
    /// The maximum number of file descriptors that the process may hold.
    pub max_sockets: usize,
    /// The maximum number of bytes of memory that the process may use.
    pub max_memory_bytes: usize,
    /// The balancer's settings.
    pub settings: Settings,
    /// The settings that the host of the balancer needs: names and connection timeouts.
    pub host_settings: HostSettings,
    /// The endpoint list that the agent uses until discovery sends one.
    pub cached_endpoints: EndpointList,
}

/// The keys of the configuration file that the agent reads. Other keys are ignored.
#[derive(Deserialize)]
struct ConfigFile {
    /// The agent's name.
    #[serde(default)]
    name: Option<String>,
    /// The address that the agent listens on.
    #[serde(default)]
    listen: Option<String>,
    /// The address of discovery.
    #[serde(default)]
    discovery: Option<String>,
    /// The text from which [`parse_seed`] derives the seed.
    #[serde(default)]
    seed: Option<String>,
    /// The resource limits of the process.
    #[serde(default)]
    limits: Limits,
    /// The cached endpoint list, in the form in which discovery sends it; null if the file contains none.
    #[serde(default, rename = "known")]
    cached_endpoints: serde_json::Value,
    /// The settings of the balancer and its host.
    settings: WireSettings,
}

/// The resource limits of the process.
#[derive(Default, Deserialize)]
#[serde(default)]
struct Limits {
    /// The maximum number of file descriptors.
    sockets: Option<usize>,
    /// The maximum amount of memory, in MB.
    memory_mb: Option<f64>,
}

impl ConfigFile {
    /// Reads the file whose path is in `PROXY_CONFIG`.
    fn read(read_variable: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let missing = ConfigError::MissingVariable { variable: CONFIG_VARIABLE };
        let path = read_variable(CONFIG_VARIABLE).map(PathBuf::from).ok_or(missing)?;
        let bytes = match std::fs::read(&path) {
            Ok(bytes) => bytes,
            Err(source) => return Err(ConfigError::Unreadable { path, source }),
        };
        serde_json::from_slice(&bytes).map_err(|source| ConfigError::Malformed { path, source })
    }
}

/// Parses a socket address. `key` names the value in the error.
fn parse_address(key: &'static str, value: String) -> Result<SocketAddr, ConfigError> {
    value.parse().map_err(|_| ConfigError::BadAddress { key, value })
}

/// Reads the address of discovery from the configuration file, which may have been replaced since the start.
///
/// Unlike at the start, `PROXY_DISCOVERY` does not override the address in the file.
///
/// # Errors
///
/// Returns an error if the file cannot be read or contains no valid discovery address.
pub fn read_discovery_address(
    read_variable: impl Fn(&str) -> Option<String>,
) -> Result<SocketAddr, ConfigError> {
    let value = ConfigFile::read(read_variable)?.discovery.ok_or(ConfigError::MissingDiscovery)?;
    parse_address("discovery", value)
}

impl Config {
    /// Loads the configuration from the environment variables and the file.
    ///
    /// # Errors
    ///
    /// Returns the first error that is found. Its message is one line for the operator.
    pub fn load(read_variable: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        Self::from_file(ConfigFile::read(&read_variable)?, read_variable)
    }

    /// Creates the configuration from the content of the file and the environment variables.
    fn from_file(
        file: ConfigFile,
        read_variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, ConfigError> {
        let address = |name: &'static str, file_value: Option<String>| {
            let value = read_variable(name).or(file_value);
            parse_address(name, value.ok_or(ConfigError::MissingVariable { variable: name })?)
        };
        let listen_address = address(LISTEN_VARIABLE, file.listen)?;
        let discovery_address = address(DISCOVERY_VARIABLE, file.discovery)?;
        let host_settings = HostSettings::from(&file.settings);
        let settings = adapt_to_sockets(Settings::from(&file.settings), &host_settings);
        settings.validate()?;
        check_class_names(&host_settings)?;
        Ok(Config {
            name: read_variable(NAME_VARIABLE).or(file.name).unwrap_or_else(|| DEFAULT_NAME.into()),
            listen_address,
            discovery_address,
            seed: parse_seed(&file.seed.unwrap_or_default()),
            max_sockets: resolve_max_sockets(&file.limits)?,
            max_memory_bytes: (file.limits.memory_mb.unwrap_or(DEFAULT_MEMORY_MB) * BYTES_PER_MB) as usize,
            settings,
            host_settings,
            cached_endpoints: parse_cached_endpoints(&file.cached_endpoints)?,
        })
    }
}

/// Checks that each request class has a name.
fn check_class_names(host_settings: &HostSettings) -> Result<(), ConfigError> {
    match host_settings.class_names.iter().position(String::is_empty) {
        Some(class) => Err(ConfigError::UnnamedClass { class }),
        None => Ok(()),
    }
}

/// Returns the limit on file descriptors: the configured one or the default, and at most [`MAX_SOCKETS`].
fn resolve_max_sockets(limits: &Limits) -> Result<usize, ConfigError> {
    let sockets = limits.sockets.unwrap_or(DEFAULT_SOCKETS);
    if sockets < MIN_SOCKETS {
        return Err(ConfigError::TooFewSockets);
    }
    Ok(sockets.min(MAX_SOCKETS))
}

/// Parses the cached endpoint list. Returns an empty list if the file contains none.
fn parse_cached_endpoints(value: &serde_json::Value) -> Result<EndpointList, ConfigError> {
    if value.is_null() {
        return Ok(EndpointList::default());
    }
    EndpointList::parse(value).ok_or(ConfigError::BadEndpointList)
}

/// Adapts the balancer's settings to a host with real sockets.
fn adapt_to_sockets(settings: Settings, host_settings: &HostSettings) -> Settings {
    Settings {
        // Changes to the endpoint list arrive only while a watch is open.
        discovery_mode: DiscoveryMode::OnRequest,
        // The protocol assumes that the agent is notified of a change even if no watch is open, and the drain
        // grace counts from the assumed notification. A broken watch must therefore be reopened well within
        // the drain grace, however often it breaks. The maximum delay before the reopening is a fraction of
        // `max_poll_interval`.
        max_poll_interval: settings.max_poll_interval.min(settings.drain_grace),
        // The conversion from `WireSettings` leaves this field at its default, because connections in the
        // simulator open or fail immediately.
        connect_timeout: host_settings.connect_timeout,
        ..settings
    }
}

/// Derives a seed from a text: the value of a hexadecimal number, or the hash of any other text.
///
/// The deployment writes seeds as hexadecimal numbers.
fn parse_seed(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or_else(|_| hash_name(text))
}

#[cfg(test)]
mod tests;
