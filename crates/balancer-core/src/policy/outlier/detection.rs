//! Which servers are outliers, and whether a probe ends an ejection.

use crate::policy::admission::SLOW_RATIO;
use crate::policy::concurrency::{LATE_RATIO, TARGET_RATIO};
use crate::policy::fleet::{FleetView, ServerIndex, ServerRegistry, ServerState};
use crate::policy::latency::ServerLatency;
use crate::units::LatencyRatio;
use crate::{EjectionReason, Outcome, Time};

/// A server is slow at this multiple of the fleet's median latency; below it, own counts alone shift the
/// load.
const OUTLIER_FACTOR: f64 = 3.0;
/// The median counts as this at least when a probe is judged.
const MIN_PROBE_MEDIAN: f64 = 0.1;
/// Samples needed before a server can be called slow; one costly request is no evidence.
const MIN_SAMPLES: u32 = 4;
/// Failures in a row that eject a server.
const MAX_FAILURES: u32 = 3;
/// At most this share of the serving fleet is ejected; beyond that the cause is not the servers.
const MAX_EJECTED_SHARE: f64 = 0.75;

/// How an attempt ended, and the latency it showed.
#[derive(Debug, Clone, Copy)]
pub struct AttemptResult {
    /// How it ended.
    pub outcome: Outcome,
    /// Its latency; zero if it shows no load.
    pub ratio: LatencyRatio,
}

/// Why the server is an outlier after its last attempt; `None` if it is not.
pub fn find_outlier(
    server: &ServerState,
    last: AttemptResult,
    median: LatencyRatio,
    view: FleetView,
) -> Option<EjectionReason> {
    if is_slow(&server.latency, median) {
        return Some(EjectionReason::Slow);
    }
    is_failing(server, last, view).then_some(EjectionReason::Failing)
}

fn is_slow(latency: &ServerLatency, median: LatencyRatio) -> bool {
    let slow_limit = OUTLIER_FACTOR * median.value();
    latency.samples() >= MIN_SAMPLES && latency.ratio().value() > slow_limit && latency.ratio() > TARGET_RATIO
}

/// In a sparse view a single failure or late answer is enough: the next own request to the server may be
/// minutes away.
fn is_failing(server: &ServerState, last: AttemptResult, view: FleetView) -> bool {
    let failures = server.health.failures();
    match view {
        FleetView::Dense => failures >= MAX_FAILURES,
        FleetView::Sparse => {
            let is_late = last.ratio >= LATE_RATIO && last.outcome != Outcome::Rejected;
            is_late || failures > 0
        }
    }
}

/// Whether a single answer is slow, and slow next to the fleet too, as where a noisy neighbour takes the
/// server's cores (docs/findings/fleet-shares.md).
pub fn is_relatively_slow(ratio: LatencyRatio, median: LatencyRatio) -> bool {
    ratio >= SLOW_RATIO && ratio.value() > OUTLIER_FACTOR * median.value()
}

/// Ejects a server. False if it is ejected already, or if too many others are.
pub fn eject(fleet: &mut ServerRegistry, index: ServerIndex, now: Time) -> bool {
    let serving = fleet.serving().len() as f64;
    let ejected = fleet.serving_states().filter(|server| server.health.is_ejected()).count();
    let health = &mut fleet[index].health;
    if health.is_ejected() || (ejected + 1) as f64 > MAX_EJECTED_SHARE * serving {
        return false;
    }
    health.eject(now);
    true
}

/// Judges a probe: a good answer ends the ejection, any other one delays the next probe.
pub fn judge_probe(server: &mut ServerState, probe: AttemptResult, median: LatencyRatio, now: Time) {
    let limit = OUTLIER_FACTOR * median.value().max(MIN_PROBE_MEDIAN);
    if probe.outcome == Outcome::Success && probe.ratio.value() < limit {
        server.health.recover();
        server.latency = ServerLatency::restarted(probe.ratio);
    } else {
        server.health.fail_probe(now);
    }
}

#[cfg(test)]
mod tests;
