//! The loads in load reports, and their average over all servers.

use super::reported_load::ReportedLoad;
use crate::policy::smoothing::update_recent_average;
use crate::{LoadReport, LoadReportField, Settings, Time};

/// Exclusive upper bound of plausible loads, in requests. The lower bound is zero.
const MAX_PLAUSIBLE_LOAD: f64 = 1e4;

/// Returns whether this field of a load report contains the load of a server, in requests.
pub fn is_load_field(field: LoadReportField) -> bool {
    matches!(field, LoadReportField::InFlight | LoadReportField::QueueLength)
}

/// The average of the loads that all servers report.
#[derive(Default)]
pub struct LoadReports {
    /// Moving average of the reported loads, in requests.
    mean_load: f64,
}

impl LoadReports {
    /// Returns the moving average of the reported loads, in requests.
    pub fn mean_load(&self) -> f64 {
        self.mean_load
    }

    /// Records the load in a server's report. An implausible load is ignored: a negative load, for example,
    /// must not make a server look empty.
    pub fn record(&mut self, settings: &Settings, server: &mut ReportedLoad, report: &LoadReport, now: Time) {
        let Some(load) = extract_load(settings, report) else { return };
        *server = ReportedLoad::new(load, now);
        update_recent_average(&mut self.mean_load, load);
    }
}

/// Returns the load in a report: the requests in flight or, if reports have no such field, the queue length.
/// Returns `None` if the load is missing or implausible.
fn extract_load(settings: &Settings, report: &LoadReport) -> Option<f64> {
    let fields = &settings.load_report_fields;
    let position_of = |field| fields.iter().position(|listed| *listed == field);
    let in_flight = position_of(LoadReportField::InFlight);
    let position = in_flight.or(position_of(LoadReportField::QueueLength))?;
    let load = *report.values().get(position)?;
    (0.0..MAX_PLAUSIBLE_LOAD).contains(&load).then_some(load)
}

#[cfg(test)]
mod tests;
