//! Outliers: servers that fail or are slow next to the others are ejected, and probed by single requests
//! until they recover.

mod detection;
mod ejection;
mod health;

pub use detection::{eject, find_outlier, is_relatively_slow, judge_probe, AttemptResult};
pub use health::ServerHealth;
