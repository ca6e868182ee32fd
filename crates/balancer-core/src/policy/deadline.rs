//! Deadlines: until when a response has its full value, and what the time left still allows for a request.

mod objective;
mod timeliness;
mod typical_timeout;

pub use objective::ObjectiveTracker;
pub use timeliness::{retry_after, Timeliness};
