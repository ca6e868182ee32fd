//! Outlier detection: failing or slow servers are ejected, and probed by single requests until they recover.

use super::concurrency::{LATE_RATIO, TARGET_RATIO};
use super::Ejection;
use crate::state::{ServerIndex, ServerLatency};
use crate::{Action, Balancer, EjectionReason, LatencyRatio, Notice, Outcome};

/// A server is slow at this multiple of the fleet's median latency; under it, counts alone shift the load.
pub const OUTLIER_FACTOR: f64 = 3.0;
/// The median counts as this at least when a probe is judged.
const MIN_PROBE_MEDIAN: f64 = 0.1;
/// Samples needed before a server can be called slow; one costly request is no evidence.
const MIN_SAMPLES: u32 = 4;
/// Failures in a row, with no success between, that eject a server.
const MAX_FAILURES: u32 = 3;
/// At most this share of the serving fleet is ejected; beyond that the cause is not the servers.
const MAX_EJECTED_SHARE: f64 = 0.75;

impl Balancer {
    /// Judges a probe: a good answer ends the ejection, any other lengthens the interval.
    pub(crate) fn finish_probe(&mut self, server: ServerIndex, outcome: Outcome, ratio: f64) {
        let limit = OUTLIER_FACTOR * self.latency.median_ratio.max(MIN_PROBE_MEDIAN);
        let server = &mut self.registry[server];
        if outcome == Outcome::Success && ratio < limit {
            server.health.ejection = None;
            server.health.failures = 0;
            server.latency = ServerLatency::restarted(ratio);
        } else if let Some(ejection) = &mut server.health.ejection {
            ejection.fail_probe(self.now);
        }
    }

    /// Ejects a server that the last outcome shows to be an outlier. In a sparse view a single sign is
    /// enough: the next own request to the server may be minutes away.
    pub(crate) fn eject_outlier(&mut self, index: ServerIndex, outcome: Outcome, ratio: f64) {
        let ServerLatency { ratio: smoothed_ratio, samples, .. } = self.registry[index].latency;
        let failures = self.registry[index].health.failures;
        let slow_limit = OUTLIER_FACTOR * self.latency.median_ratio;
        let is_slow = samples >= MIN_SAMPLES && smoothed_ratio > slow_limit && smoothed_ratio > TARGET_RATIO;
        let is_late = ratio >= LATE_RATIO && outcome != Outcome::Rejected;
        if failures >= MAX_FAILURES || is_slow || (self.is_sparse() && (is_late || failures > 0)) {
            self.eject(index, if is_slow { EjectionReason::Slow } else { EjectionReason::Failing });
        }
    }

    /// Excludes a server from selection and memory, unless too many are ejected already. In a sparse view it
    /// comes under suspicion instead.
    pub(crate) fn eject(&mut self, index: ServerIndex, reason: EjectionReason) {
        if self.is_sparse() {
            return self.suspect(index);
        }
        let serving = self.registry.serving.len() as f64;
        let ejected = self.registry.serving_states().filter(|s| s.health.ejection.is_some()).count();
        let server = &mut self.registry[index];
        if server.health.ejection.is_some() || (ejected + 1) as f64 > MAX_EJECTED_SHARE * serving {
            return;
        }
        server.health.ejection = Some(Ejection::new(self.now));
        self.memory.forget(index);
        let notice = Notice::ServerEjected {
            server: server.endpoint.server,
            reason,
            latency_ratio: LatencyRatio::new(server.latency.ratio),
            fleet_median: LatencyRatio::new(self.latency.median_ratio),
        };
        self.actions.push(Action::Notify(notice));
    }
}
