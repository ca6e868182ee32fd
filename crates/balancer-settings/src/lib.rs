//! What the hosts of a balancer share: the settings object, which arrives in the simulator's first message or
//! in the agent's configuration file, and the numbers of servers. Only this crate knows the JSON keys.

mod decision_settings;
mod host_settings;
mod name_hash;
mod server_names;
mod wire;

pub use host_settings::HostSettings;
pub use name_hash::hash_name;
pub use server_names::ServerNames;
pub use wire::WireSettings;
