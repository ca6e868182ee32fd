//! Deadlines: how much of its latency objective a new request has left, and whether a request can still get
//! a response in time.

mod objective;
mod timeliness;
mod typical_timeout;

pub use objective::ObjectiveTracker;
pub use timeliness::{retry_after, Timeliness};
