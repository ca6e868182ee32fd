//! Reads the settings object that a balancer is given: in the simulator's first message, and in the agent's
//! configuration. Its JSON keys are known here and nowhere else.

mod decision_settings;
mod host_settings;
mod name_hash;
mod server_names;
mod wire;

pub use host_settings::HostSettings;
pub use name_hash::hash_name;
pub use server_names::ServerNames;
pub use wire::WireSettings;
