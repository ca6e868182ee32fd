//! Overdue attempts: which should have been answered by now, and which of their servers are silent.

use super::admission::SLOW_RATIO;
use super::concurrency::TARGET_RATIO;
use super::fleet::{ServerIndex, ServerRegistry};
use super::latency::FleetLatency;
use super::requests::{ActiveRequest, AttemptKey, AttemptsInFlight, InFlightAttempt};
use crate::{RequestId, Settings, Span, Time};
use std::collections::BTreeMap;

/// An attempt is overdue at this multiple of the usual latency of its class ...
const OVERDUE_FACTOR: f64 = 4.0;
/// ... and not before this share of its objective.
const MIN_OVERDUE_SHARE: f64 = 0.6;
/// The same for an attempt that is alone on its server, where it may well be a costly request.
const MIN_OVERDUE_SHARE_ALONE: f64 = 1.0;

/// An attempt that should have been answered by now.
pub struct OverdueAttempt {
    pub key: AttemptKey,
    pub server: ServerIndex,
    /// Its server has not responded in any way since it was sent.
    pub is_server_silent: bool,
}

/// Looks for overdue attempts.
pub struct OverdueSearch<'a> {
    pub now: Time,
    pub settings: &'a Settings,
    pub fleet: &'a ServerRegistry,
    pub latency: &'a FleetLatency,
    pub requests: &'a BTreeMap<RequestId, ActiveRequest>,
}

impl OverdueSearch<'_> {
    /// The overdue attempts whose server is silent, or answers others quickly
    /// (docs/findings/lost-answers.md). Those of a server that is slow for all are left alone: they may still
    /// be queued there.
    pub fn find(&self, in_flight: &AttemptsInFlight) -> Vec<OverdueAttempt> {
        in_flight.iter().filter_map(|(key, attempt)| self.examine(key, attempt)).collect()
    }

    fn examine(&self, key: AttemptKey, attempt: &InFlightAttempt) -> Option<OverdueAttempt> {
        let server = &self.fleet[attempt.server];
        let is_overdue = self.now.since(attempt.sent_at) > self.max_time(key, attempt);
        let is_server_silent = server.health.is_silent_since(attempt.sent_at);
        let is_server_quick = server.latency.ratio() < TARGET_RATIO;
        let found = OverdueAttempt { key, server: attempt.server, is_server_silent };
        (is_overdue && (is_server_silent || is_server_quick)).then_some(found)
    }

    /// How long the attempt may take before it is overdue.
    fn max_time(&self, key: AttemptKey, attempt: &InFlightAttempt) -> Span {
        let objective = self.settings.class(attempt.class).latency_objective;
        let is_alone = self.fleet[attempt.server].in_flight <= 1;
        let min_share = if is_alone { MIN_OVERDUE_SHARE_ALONE } else { MIN_OVERDUE_SHARE };
        let work_ms = self.estimated_work_ms(key.request);
        let typical_ratio = self.latency.typical_ratio(attempt.class).value();
        let median_ratio = self.latency.median_ratio().value();
        let usual_ratio = typical_ratio.max(median_ratio).max(work_ms / objective.as_millis_f64());
        objective * (OVERDUE_FACTOR * usual_ratio).max(min_share)
    }

    /// The work of the request; zero if it has its final answer already.
    fn estimated_work_ms(&self, request: RequestId) -> f64 {
        let active = self.requests.get(&request);
        active
            .map_or(0.0, |active| self.latency.estimated_work(self.settings, &active.request).as_millis_f64())
    }
}

/// Marks the attempts that have become slow since the last call and returns how many there are. A slow answer
/// is known to be slow before it arrives; waiting for it would let an overload grow.
pub fn mark_slow_attempts(in_flight: &mut AttemptsInFlight, settings: &Settings, now: Time) -> usize {
    let mut newly_slow = 0;
    for attempt in in_flight.iter_mut().filter(|attempt| !attempt.is_counted_slow) {
        let max_time = settings.class(attempt.class).latency_objective * SLOW_RATIO.value();
        if now.since(attempt.sent_at) > max_time {
            attempt.is_counted_slow = true;
            newly_slow += 1;
        }
    }
    newly_slow
}

#[cfg(test)]
mod tests;
