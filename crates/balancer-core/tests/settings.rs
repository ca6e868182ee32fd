//! Tests that `Balancer::new` returns an error for invalid settings, that one request class is all that
//! settings need, and that a request of an unknown class is rejected.

mod common;

use balancer_core::*;
use common::*;

/// Creates a balancer from the default settings with this change. Returns the error, or `None` if the
/// settings are valid.
fn error_after(change: fn(&mut Settings)) -> Option<SettingsError> {
    let mut settings = Settings::default();
    change(&mut settings);
    Balancer::new(settings, 1).err()
}

fn is_invalid_number(error: Option<&SettingsError>) -> bool {
    matches!(error, Some(SettingsError::InvalidNumber { .. }))
}

#[test]
fn invalid_settings_return_errors() {
    assert_eq!(error_after(|settings| settings.classes.clear()), Some(SettingsError::NoClasses));
    assert_eq!(error_after(|settings| settings.max_attempts = 0), Some(SettingsError::NoAttempts));
    assert_eq!(
        error_after(|settings| settings.classes[0].latency_objective = Span::ZERO),
        Some(SettingsError::ZeroSpan { setting: "aim" })
    );
    assert_eq!(
        error_after(|settings| settings.classes[0].timeout = Span::ZERO),
        Some(SettingsError::ZeroSpan { setting: "deadline" })
    );
    assert!(is_invalid_number(error_after(|settings| settings.initial_capacity = f64::NAN).as_ref()));
    assert!(is_invalid_number(error_after(|settings| settings.overload_factor = -1.0).as_ref()));
    assert!(is_invalid_number(
        error_after(|settings| settings.classes[0].priority_weight = f64::INFINITY).as_ref()
    ));
    assert_eq!(error_after(|_| ()), None);
}

/// Requests are served even if the settings provide for no load reports, routing keys, tenants, health
/// checks, cancellation or retry advice, and all goal weights are zero. Load reports that arrive nevertheless
/// are ignored.
#[test]
fn settings_with_only_a_class_suffice() {
    let settings = Settings {
        allows_cancel: false,
        goal: GoalWeights { overall: 0.0, worst_window: 0.0, worst_class: 0.0, worst_tenant: 0.0 },
        warm_up_time: Span::ZERO,
        ..idempotent_settings()
    };
    let mut harness = Harness::with_endpoints(settings, 1, fleet(3));

    for _ in 0..100 {
        let request = harness.submit_request();
        assert!(request.is_sent());
        harness.advance_ms(10.0);
        let report = Some(LoadReport::new(vec![f64::NAN, -1.0, 1e300]));
        harness.end_attempt_with_report(request.id, FIRST_ATTEMPT, Response::success(10.0), report);
    }

    harness.assert_no_violations();
}

#[test]
fn request_of_unknown_class_is_rejected() {
    let mut harness = Harness::with_endpoints(Settings::default(), 1, fleet(3));
    let request = Request::new(RequestId(5), ClassId(9), Span::from_millis(100));

    let mut actions = Vec::new();
    harness.balancer.handle(harness.now, Event::Request(request), &mut actions);

    assert!(is_rejected(&actions, RequestId(5)));
    assert!(!actions.iter().any(is_send));
}
