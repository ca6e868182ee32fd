//! The decisions: where, when and how often requests are sent, and which are rejected.
//!
//! Each concern is a module that owns its state privately, with its rules and their constants. It takes what
//! it needs as arguments (the time, the settings, the fleet, the generator) and returns what it has decided;
//! [`Balancer`](crate::Balancer) owns the concerns, orders the steps and turns decisions into actions. What a
//! concern keeps of a single server is a type of its own in [`fleet::ServerState`].
//!
//! The deploy file lists every file of this module under `policy`.

pub mod admission;
pub mod budget;
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
pub mod wait_queue;
pub mod watch;
