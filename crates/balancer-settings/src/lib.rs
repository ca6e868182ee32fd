//! Code that all hosts of a balancer share: the JSON form of the settings, and the mapping of server names to
//! ids.
//!
//! The settings object arrives in the simulator's first message or in the agent's configuration file. Only
//! this crate knows its JSON keys.

mod decision_settings;
mod host_settings;
mod name_hash;
mod server_names;
mod wire;

pub use host_settings::HostSettings;
pub use name_hash::hash_name;
pub use server_names::ServerNames;
pub use wire::WireSettings;
