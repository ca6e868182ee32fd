//! Tests of how the result of a probe is evaluated.

use super::*;
use crate::{Endpoint, ServerId};

const NOW: Time = Time::from_millis(1_000);
const SERVER: ServerId = ServerId(1);

/// Ejects a server of a fleet with a very low median latency, and probes the server once. Returns whether
/// the ejection ends if the probe succeeds with this latency ratio.
fn ends_ejection(ratio: f64) -> bool {
    let mut fleet = ServerRegistry::new();
    // The fleet has five servers, because the only server of a fleet is never ejected.
    fleet.update(NOW, (1..6).map(|id| Endpoint::serving(ServerId(id))).collect(), true);
    fleet.refresh_serving();
    let server = fleet.find(SERVER).expect("the server is listed");
    assert!(eject(&mut fleet, server, NOW));
    assert!(fleet[server].health.is_ejected());

    let probe = AttemptResult { outcome: Outcome::Success, ratio: LatencyRatio::new(ratio) };
    evaluate_probe(&mut fleet[server], probe, LatencyRatio::new(0.01), NOW);

    !fleet[server].health.is_ejected()
}

#[test]
fn a_probe_is_compared_with_a_median_of_at_least_a_tenth() {
    assert!(ends_ejection(0.29));
    assert!(!ends_ejection(0.31));
}
