//! Outlier detection: servers that fail, or are slow relative to the fleet, are ejected and then probed with
//! single requests until they recover.

mod detection;
mod ejection;
mod health;

pub use detection::{eject, find_outlier, is_relatively_slow, judge_probe, AttemptResult};
pub use health::ServerHealth;
