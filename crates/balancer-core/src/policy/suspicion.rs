//! Suspicion, the form that ejection takes in a sparse view. A balancer that meets a server once in many
//! seconds cannot probe it: the probes of all balancers together would be a load of their own. It sends a
//! suspected server a small part of its share for a while, and gossips to some peers, because each of them
//! would otherwise lose a request of its own to find out.

mod gossip;
mod server_suspicion;
mod tracker;
mod zone_links;

pub use server_suspicion::{ServerSuspicion, SUSPECTED_SHARE};
pub use tracker::{receive_gossip, SuspicionTracker};
