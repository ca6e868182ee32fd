//! Detection of overdue and slow attempts in flight, and of silent servers.

use super::admission::SLOW_RATIO;
use super::concurrency::TARGET_RATIO;
use super::fleet::{ServerIndex, ServerRegistry};
use super::latency::FleetLatency;
use super::requests::{ActiveRequest, AttemptsInFlight, InFlightAttempt};
use crate::{AttemptId, RequestId, Settings, Span, Time};
use std::collections::BTreeMap;

/// Multiple of its expected latency after which an attempt is overdue.
const OVERDUE_FACTOR: f64 = 4.0;
/// Fraction of the latency objective during which an attempt is never overdue.
const MIN_OVERDUE_FRACTION: f64 = 0.6;
/// Fraction that replaces [`MIN_OVERDUE_FRACTION`] for an attempt that is alone on its server. Such an
/// attempt may well be for a costly request.
const MIN_OVERDUE_FRACTION_ALONE: f64 = 1.0;
/// Fraction of the class timeout for which a response that has begun may pause before its attempt is overdue.
/// Its server has done the work, so a retry would cost more than the rest of a slow response.
const MAX_RESPONSE_PAUSE_FRACTION: f64 = 0.5;

/// An attempt that should have got a response by now.
pub struct OverdueAttempt {
    /// The id of the attempt.
    pub id: AttemptId,
    /// The server that the attempt was sent to.
    pub server: ServerIndex,
    /// Whether the server has not responded in any way since the attempt was sent.
    pub is_server_silent: bool,
}

/// A search for overdue attempts: the state that the search depends on.
pub struct OverdueSearch<'a> {
    /// The current time.
    pub now: Time,
    /// The settings of the balancer.
    pub settings: &'a Settings,
    /// The servers of the fleet.
    pub fleet: &'a ServerRegistry,
    /// The latencies of the request classes and of the fleet.
    pub latency: &'a FleetLatency,
    /// The requests without a final response.
    pub requests: &'a BTreeMap<RequestId, ActiveRequest>,
}

impl OverdueSearch<'_> {
    /// Returns the overdue attempts whose server is silent, or responds quickly to other requests
    /// (docs/findings/lost-answers.md).
    ///
    /// Overdue attempts on a server that is slow for all requests are left out, because they may still be
    /// queued there.
    pub fn find(&self, in_flight: &AttemptsInFlight) -> Vec<OverdueAttempt> {
        in_flight.iter().filter_map(|(id, attempt)| self.check(id, attempt)).collect()
    }

    /// Returns the attempt if it is overdue and its server is silent or responds quickly to other requests.
    fn check(&self, id: AttemptId, attempt: &InFlightAttempt) -> Option<OverdueAttempt> {
        let server = &self.fleet[attempt.server];
        let is_overdue = match attempt.response_progress_at {
            Some(progress_at) => self.now.since(progress_at) > self.max_response_pause(attempt),
            None => self.now.since(attempt.sent_at) > self.max_time(id, attempt),
        };
        let is_server_silent = server.health.is_silent_since(attempt.sent_at);
        let is_server_quick = server.latency.ratio() < TARGET_RATIO;
        let found = OverdueAttempt { id, server: attempt.server, is_server_silent };
        (is_overdue && (is_server_silent || is_server_quick)).then_some(found)
    }

    /// Returns how long the attempt may take before it is overdue: a multiple of its expected latency, but
    /// at least a fraction of its latency objective.
    ///
    /// The expected latency is the highest of the typical latency of the class, the median latency of the
    /// fleet, and the estimated work of the request.
    fn max_time(&self, id: AttemptId, attempt: &InFlightAttempt) -> Span {
        let objective = self.settings.class(attempt.class).latency_objective;
        let is_alone = self.fleet[attempt.server].in_flight <= 1;
        let min_fraction = if is_alone { MIN_OVERDUE_FRACTION_ALONE } else { MIN_OVERDUE_FRACTION };
        let work_ms = self.estimated_work_ms(id.request);
        let typical_ratio = self.latency.typical_ratio(attempt.class).value();
        let median_ratio = self.latency.median_ratio().value();
        let expected_ratio = typical_ratio.max(median_ratio).max(work_ms / objective.as_millis_f64());
        objective * (OVERDUE_FACTOR * expected_ratio).max(min_fraction)
    }

    /// Returns how long a response that has begun may pause before its attempt is overdue.
    fn max_response_pause(&self, attempt: &InFlightAttempt) -> Span {
        self.settings.class(attempt.class).timeout * MAX_RESPONSE_PAUSE_FRACTION
    }

    /// Returns the estimated work of the request, or zero if the request has already had its final response.
    fn estimated_work_ms(&self, request: RequestId) -> f64 {
        let active = self.requests.get(&request);
        active
            .map_or(0.0, |active| self.latency.estimated_work(self.settings, &active.request).as_millis_f64())
    }
}

/// Marks the attempts in flight that have become slow since the last call, and returns their number.
///
/// An attempt in flight is known to be slow before its response arrives. If admission control waited for the
/// response, an overload would grow meanwhile.
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
