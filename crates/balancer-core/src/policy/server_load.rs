//! Loads that servers report, and polls of candidates for their load before one of them is selected.

mod load_reports;
mod polling;
mod reported_load;

pub use load_reports::LoadReports;
pub use polling::{LoadPoll, LoadPolling};
pub use reported_load::ReportedLoad;
