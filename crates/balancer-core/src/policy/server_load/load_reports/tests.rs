//! Tests of which reported loads are plausible.

use super::*;

const NOW: Time = Time::from_millis(1_000);

#[test]
fn loads_from_ten_thousand_on_are_not_plausible() {
    let load_report_fields = vec![LoadReportField::InFlight];
    let settings = Settings { load_report_fields, ..Settings::default() };
    let mut reports = LoadReports::default();
    let mut server = ReportedLoad::default();

    reports.record(&settings, &mut server, &LoadReport::new(vec![9999.0]), NOW);
    reports.record(&settings, &mut server, &LoadReport::new(vec![10_000.0]), NOW);

    assert_eq!(server.last_known(), 9999.0);
}
