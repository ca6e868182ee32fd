//! Deadlines: until when an answer has its full value, and what a request's remaining time still allows.

mod objective;
mod timeliness;
mod usual_timeout;

pub use objective::ObjectiveDeadlines;
pub use timeliness::{retry_after, Timeliness};
