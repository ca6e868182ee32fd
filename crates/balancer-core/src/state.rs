//! What a balancer knows: records of requests, attempts and servers, and figures that follow what it sees.
//! Nothing is decided here; the rules are in [`crate::policy`].

mod budget;
mod latency;
mod load_poll;
mod load_report;
mod memory;
mod registry;
mod request;
mod server;
mod smoothing;
mod timeout;
mod traffic;
mod warm_up;
mod zone_links;

pub use budget::Budget;
pub use latency::{FleetLatency, ServerLatency};
pub use load_poll::LoadPoll;
pub use load_report::ReportedLoad;
pub use memory::ServerMemory;
pub use registry::{FleetView, ServerIndex, ServerRegistry};
pub use request::{ActiveRequest, Attempt, AttemptKey, AttemptState, EndedAttempt, InFlightAttempt};
pub use server::ServerState;
pub use smoothing::update_recent_average;
pub use timeout::UsualTimeout;
pub use traffic::{ShedOrder, Traffic};
pub use warm_up::WarmUp;
pub use zone_links::ZoneLinks;
