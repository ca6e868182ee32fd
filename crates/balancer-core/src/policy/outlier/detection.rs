//! The rules that decide which servers are ejected, and whether a probe ends an ejection.

use crate::policy::admission::SLOW_RATIO;
use crate::policy::concurrency::{LATE_RATIO, TARGET_RATIO};
use crate::policy::fleet::{FleetView, ServerIndex, ServerRegistry, ServerState};
use crate::policy::latency::ServerLatency;
use crate::units::LatencyRatio;
use crate::{EjectionReason, Outcome, Time};

/// Multiple of the fleet's median latency ratio above which a server is slow. Below this multiple, no
/// ejection is needed: the balancer's own counts of attempts in flight shift the load to other servers.
const OUTLIER_FACTOR: f64 = 3.0;
/// Lower bound of the median latency ratio that the latency ratio of a probe is compared with. A lower
/// median of the fleet counts as this value.
const MIN_MEDIAN_RATIO: f64 = 0.1;
/// Latency samples needed before a server can be ejected as slow, so that a single costly request does not
/// cause an ejection.
const MIN_SAMPLES: u32 = 4;
/// Consecutive failures after which a server is ejected in a dense view.
const CONSECUTIVE_FAILURES_TO_EJECT: u32 = 3;
/// Largest fraction of the serving servers that may be ejected. If more of them are outliers, the servers
/// themselves are not the cause.
const MAX_EJECTED_FRACTION: f64 = 0.75;

/// The outcome and the latency ratio of an attempt that has ended.
#[derive(Debug, Clone, Copy)]
pub struct AttemptResult {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// The latency ratio of the attempt; zero if the attempt shows nothing about the load of its server.
    pub ratio: LatencyRatio,
}

/// Returns the reason to eject or suspect the server after its last attempt, or `None` if the server is not
/// an outlier.
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

/// Returns whether the smoothed latency ratio of a server is too high relative to the fleet's median and
/// also above the target. A server with few samples is never slow.
fn is_slow(latency: &ServerLatency, median: LatencyRatio) -> bool {
    let max_ratio = OUTLIER_FACTOR * median.value();
    latency.sample_count() >= MIN_SAMPLES
        && latency.ratio().value() > max_ratio
        && latency.ratio() > TARGET_RATIO
}

/// Returns whether a server has failed often enough to be ejected or suspected.
///
/// In a sparse view, a single failure or late attempt is enough, because the balancer's next request to the
/// server may be minutes away.
fn is_failing(server: &ServerState, last: AttemptResult, view: FleetView) -> bool {
    let failures = server.health.consecutive_failures();
    match view {
        FleetView::Dense => failures >= CONSECUTIVE_FAILURES_TO_EJECT,
        FleetView::Sparse => {
            let is_late = last.ratio >= LATE_RATIO && last.outcome != Outcome::Rejected;
            is_late || failures > 0
        }
    }
}

/// Returns whether a single attempt is slow, both in absolute terms and relative to the fleet. A noisy
/// neighbour that takes CPU cores from the server causes such latencies (docs/findings/fleet-shares.md).
pub fn is_relatively_slow(ratio: LatencyRatio, median: LatencyRatio) -> bool {
    ratio >= SLOW_RATIO && ratio.value() > OUTLIER_FACTOR * median.value()
}

/// Ejects a server. Returns `false`, and changes nothing, if the server is already ejected or if too many
/// other servers are.
pub fn eject(fleet: &mut ServerRegistry, index: ServerIndex, now: Time) -> bool {
    let serving = fleet.serving().len() as f64;
    let ejected = fleet.serving_states().filter(|server| server.health.is_ejected()).count();
    let health = &mut fleet[index].health;
    if health.is_ejected() || (ejected + 1) as f64 > MAX_EJECTED_FRACTION * serving {
        return false;
    }
    health.eject(now);
    true
}

/// Evaluates the result of a probe.
///
/// A success that is not slow relative to the fleet ends the ejection, and the latency of the probe replaces
/// the server's earlier samples. Any other result delays the next probe.
pub fn evaluate_probe(server: &mut ServerState, probe: AttemptResult, median: LatencyRatio, now: Time) {
    let max_ratio = OUTLIER_FACTOR * median.value().max(MIN_MEDIAN_RATIO);
    if probe.outcome == Outcome::Success && probe.ratio.value() < max_ratio {
        server.health.recover();
        server.latency = ServerLatency::from_sample(probe.ratio);
    } else {
        server.health.record_probe_failure(now);
    }
}

#[cfg(test)]
mod tests;
