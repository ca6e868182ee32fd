//! Outlier detection: servers that fail, or are slow relative to the fleet, are ejected and then probed with
//! single requests until they recover.
//!
//! Servers are ejected only in a dense view. In a sparse view, they are suspected instead; see
//! [`super::suspicion`].

mod detection;
mod ejection;
mod health;

pub use detection::{eject, evaluate_probe, find_outlier, is_relatively_slow, AttemptResult};
pub use health::ServerHealth;
