//! Suspicion of servers, which replaces ejection in a sparse view.
//!
//! In a sparse view, a balancer sends a request to a given server only once in many seconds. It cannot probe
//! ejected servers, because the probes of all balancers together would be a considerable load. Instead, a
//! suspected server receives a small fraction of its normal traffic for a while. The balancer also notifies
//! some of its peers by gossip. Without gossip, each peer would lose a request of its own to detect the
//! fault.

mod gossip;
mod server_suspicion;
mod tracker;
mod zone_links;

pub use server_suspicion::{ServerSuspicion, SUSPECTED_WEIGHT_FACTOR};
pub use tracker::{receive_gossip, SuspicionTracker};
