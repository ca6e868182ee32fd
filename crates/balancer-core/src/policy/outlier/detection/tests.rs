//! Tests of how probes are judged.

use super::*;
use crate::{Endpoint, ServerId};

const NOW: Time = Time::from_millis(1_000);
const SERVER: ServerId = ServerId(1);

/// Probes an ejected server in a fleet that answers very quickly; whether the answer ends the ejection.
fn ends_ejection(ratio: f64) -> bool {
    let mut fleet = ServerRegistry::new();
    // The only server of a fleet is never ejected, so there are others.
    fleet.update(NOW, (1..6).map(|id| Endpoint::serving(ServerId(id))).collect(), true);
    fleet.refresh_serving();
    let server = fleet.find(SERVER).expect("it is listed");
    assert!(eject(&mut fleet, server, NOW));
    assert!(fleet[server].health.is_ejected());

    let probe = AttemptResult { outcome: Outcome::Success, ratio: LatencyRatio::new(ratio) };
    judge_probe(&mut fleet[server], probe, LatencyRatio::new(0.01), NOW);

    !fleet[server].health.is_ejected()
}

#[test]
fn a_probe_is_judged_against_a_median_of_a_tenth_at_least() {
    assert!(ends_ejection(0.29));
    assert!(!ends_ejection(0.31));
}
