//! The load that servers report: reading reports, and polling candidates for their load before one is chosen.

mod load_reports;
mod polling;
mod reported_load;

pub use load_reports::LoadReports;
pub use polling::{LoadPoll, LoadPolling};
pub use reported_load::ReportedLoad;
