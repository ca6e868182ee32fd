//! Tests of the texts of notices.

use super::format_notice;
use balancer_core::{EjectionReason, LatencyRatio, Notice, ServerId};

fn ejection_text(reason: EjectionReason, latency_ratio: f64, fleet_median: f64) -> String {
    format_notice(&Notice::ServerEjected {
        server: ServerId(2_836_614_505),
        reason,
        latency_ratio: LatencyRatio::new(latency_ratio),
        fleet_median: LatencyRatio::new(fleet_median),
    })
}

#[test]
fn ejection_text_contains_the_reason_and_both_ratios() {
    for (reason, reason_text) in [
        (EjectionReason::Slow, "slow"),
        (EjectionReason::Failing, "failing"),
        (EjectionReason::Silent, "silent"),
        (EjectionReason::FailedHealthCheck, "failed health check"),
    ] {
        let expected = format!(
            "server 2836614505 ejected ({reason_text}): latency ratio 0.59 of a fleet median of 0.17"
        );
        assert_eq!(ejection_text(reason, 0.59, 0.17), expected);
    }
}

#[test]
fn ratios_have_two_decimals() {
    let text = ejection_text(EjectionReason::Silent, 12.345_6, 0.0);

    assert!(text.ends_with("latency ratio 12.35 of a fleet median of 0.00"), "{text}");
}
