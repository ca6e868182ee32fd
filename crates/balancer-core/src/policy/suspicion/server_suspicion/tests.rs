//! Tests of how long a server is suspected.

use super::*;

const NOW: Time = Time::from_millis(1_000);

#[test]
fn suspicion_lasts_eight_seconds_on_own_evidence_and_five_on_gossip() {
    let mut own = ServerSuspicion::new(NOW);
    let mut by_gossip = ServerSuspicion::new(NOW);
    assert!(!own.is_active(NOW));

    own.start(NOW);
    by_gossip.extend_by_gossip(NOW);

    for (suspicion, seconds) in [(own, 8), (by_gossip, 5)] {
        let ends_at = NOW + Span::from_secs(seconds);
        assert!(suspicion.is_active(ends_at - Span::from_micros(1)));
        assert!(!suspicion.is_active(ends_at));
    }
}

#[test]
fn gossip_does_not_shorten_suspicion_on_own_evidence() {
    let mut suspicion = ServerSuspicion::new(NOW);
    suspicion.start(NOW);

    suspicion.extend_by_gossip(NOW);

    assert!(suspicion.is_active(NOW + Span::from_secs(7)));
}

#[test]
fn only_a_success_in_time_ends_suspicion() {
    let mut suspicion = ServerSuspicion::new(NOW);
    suspicion.start(NOW);

    suspicion.record(NOW, Outcome::Success, true);
    suspicion.record(NOW, Outcome::Rejected, false);
    assert!(suspicion.is_active(NOW));

    suspicion.record(NOW, Outcome::Success, false);
    assert!(!suspicion.is_active(NOW));
}
