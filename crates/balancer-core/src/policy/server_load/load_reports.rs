//! Reading load reports.

use super::reported_load::ReportedLoad;
use crate::policy::smoothing::update_recent_average;
use crate::{LoadReport, LoadReportField, Settings, Time};

/// Reported loads from this value on are not plausible.
const MAX_LOAD: f64 = 1e4;

/// Whether this field tells the load of a server, in requests.
pub fn is_load(field: LoadReportField) -> bool {
    matches!(field, LoadReportField::InFlight | LoadReportField::QueueLength)
}

/// What the load reports of all servers say together.
#[derive(Default)]
pub struct LoadReports {
    /// Recent average.
    mean_load: f64,
}

impl LoadReports {
    /// The recent average of the reported loads.
    pub fn mean_load(&self) -> f64 {
        self.mean_load
    }

    /// Records the load that a report tells of a server. A value that is not plausible is ignored: a negative
    /// load must not make a server look empty.
    pub fn record(&mut self, settings: &Settings, server: &mut ReportedLoad, report: &LoadReport, now: Time) {
        let Some(load) = reported_load(settings, report) else { return };
        *server = ReportedLoad::new(load, now);
        update_recent_average(&mut self.mean_load, load);
    }
}

/// The load in a report: its requests in flight, or its queue length if the reports have no such field.
fn reported_load(settings: &Settings, report: &LoadReport) -> Option<f64> {
    let fields = &settings.load_report_fields;
    let position_of = |field| fields.iter().position(|known| *known == field);
    let in_flight = position_of(LoadReportField::InFlight);
    let position = in_flight.or(position_of(LoadReportField::QueueLength))?;
    let load = *report.values().get(position)?;
    (0.0..MAX_LOAD).contains(&load).then_some(load)
}

#[cfg(test)]
mod tests;
