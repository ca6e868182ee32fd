//! The decision rules: where, when and how often requests are sent, and which requests are rejected.
//!
//! Each component is a module with private state, its rules and their constants. A component takes what it
//! needs as arguments (the time, the settings, the fleet, the random number generator) and returns its
//! decisions.
//!
//! [`Balancer`](crate::Balancer) owns the components, calls them in order and turns their decisions into
//! actions. The state that a component keeps for each server is a type of its own, stored in a field of
//! [`fleet::ServerState`].
//!
//! The deploy file, deploy/balancer.toml, lists every file of this module under `policy`.

pub mod admission;
pub mod concurrency;
pub mod deadline;
pub mod feedback;
pub mod fleet;
pub mod latency;
pub mod outlier;
pub mod overdue;
pub mod requests;
pub mod retry;
pub mod routing;
pub mod server_load;
pub mod shedding;
pub mod slow_start;
pub mod smoothing;
pub mod suspicion;
pub mod tick;
pub mod token_bucket;
pub mod wait_queue;
pub mod watch;
