//! Tests of how outcomes change the health of a server.

use super::*;

const NOW: Time = Time::from_millis(1_000);
const LATER: Time = Time::from_millis(2_000);

fn health_after(outcomes: &[Outcome]) -> ServerHealth {
    let mut health = ServerHealth::new(NOW);
    for &outcome in outcomes {
        health.record(LATER, outcome);
    }
    health
}

#[test]
fn errors_resets_and_failed_connects_count_as_failures_until_a_success() {
    let failures = [Outcome::ServerError, Outcome::ConnectionReset, Outcome::ConnectFailed];
    assert_eq!(health_after(&failures).consecutive_failures(), 3);

    let other_outcomes = [Outcome::Rejected, Outcome::TimedOut, Outcome::Cancelled, Outcome::NotSent];
    assert_eq!(health_after(&other_outcomes).consecutive_failures(), 0);

    assert_eq!(
        health_after(&[Outcome::ServerError, Outcome::Rejected, Outcome::Success]).consecutive_failures(),
        0
    );
}

#[test]
fn successes_errors_resets_and_rejections_are_responses() {
    for (outcome, is_response) in [
        (Outcome::Success, true),
        (Outcome::ServerError, true),
        (Outcome::ConnectionReset, true),
        (Outcome::Rejected, true),
        (Outcome::ConnectFailed, false),
        (Outcome::TimedOut, false),
        (Outcome::Cancelled, false),
        (Outcome::NotSent, false),
    ] {
        let health = health_after(&[outcome]);
        assert_eq!(health.has_responded_after(NOW), is_response, "{outcome:?}");
        assert_eq!(health.is_silent_since(LATER), !is_response, "{outcome:?}");
    }
}

#[test]
fn a_new_process_keeps_only_the_time_of_the_last_response() {
    let mut health = health_after(&[Outcome::ServerError]);
    health.eject(LATER);

    let restarted = health.restarted();

    assert_eq!(restarted.consecutive_failures(), 0);
    assert!(!restarted.is_ejected());
    assert!(restarted.has_responded_after(NOW));
}

#[test]
fn requests_to_an_ejected_server_are_probes() {
    let mut health = ServerHealth::new(NOW);
    assert!(!health.record_send());
    assert!(health.allows_request(NOW, true));

    health.eject(NOW);

    assert!(!health.allows_request(NOW, true));
    assert!(health.record_send());
}
