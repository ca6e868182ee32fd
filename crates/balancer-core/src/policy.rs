//! The decisions: where, when and how often requests are sent, and which are rejected. The deploy file lists
//! every file of this module under `policy`; together they hold at most 1,200 lines that are not blank (BENCH
//! page).

mod admission;
mod concurrency;
mod deadline;
mod ejection;
mod feedback;
mod lifecycle;
mod load_polling;
mod outlier;
mod overdue;
mod retry;
mod routing;
mod selection;
mod shedding;
mod slow_start;
mod suspicion;
mod wait_queue;
mod watch;

pub use admission::AdmissionControl;
pub use concurrency::ConcurrencyLimit;
pub use ejection::Ejection;
pub use watch::WatchRetry;

#[cfg(test)]
mod tests;
