//! Feedback from attempts: the estimates of all components are updated when an attempt ends.

use super::Balancer;
use crate::policy::concurrency::{min_limit, LatencySample, LATE_RATIO};
use crate::policy::feedback::{observed_ratio, UNINFORMATIVE_RATIO};
use crate::policy::fleet::FleetView;
use crate::policy::outlier::{evaluate_probe, find_outlier, is_relatively_slow, AttemptResult};
use crate::policy::requests::{EndedAttempt, InFlightAttempt};
use crate::policy::slow_start::capacity_share;
use crate::units::LatencyRatio;
use crate::{AttemptId, Outcome};

impl Balancer {
    /// Records that a part of the response to an attempt has arrived.
    pub(super) fn record_response_progress(&mut self, id: AttemptId) {
        let Some(attempt) = self.in_flight.get_mut(id) else { return };
        attempt.response_progress_at = Some(self.now);
        self.fleet[attempt.server].health.record_response_progress(self.now);
    }

    /// Records the outcome and latency of an ended attempt in all components that use them.
    ///
    /// If the attempt was a probe, decides whether the ejection of its server ends. Otherwise, ejects or
    /// suspects the server if it is an outlier.
    pub(super) fn record_attempt_end(&mut self, attempt: &InFlightAttempt, ended: &EndedAttempt) {
        let server = &self.fleet[attempt.server];
        let view = self.fleet.view();
        let ratio = observed_ratio(&self.settings, server, attempt, ended, view);
        let shows_load = ratio > UNINFORMATIVE_RATIO;
        if shows_load && !attempt.is_counted_slow {
            self.admission.record(ratio, self.in_flight.len());
        }
        self.record_outcome(attempt, ended.outcome, ratio);
        if shows_load {
            self.record_latency(attempt, ended, ratio);
        }
        let result = AttemptResult { outcome: ended.outcome, ratio };
        if attempt.is_probe {
            let median = self.latency.median_ratio();
            evaluate_probe(&mut self.fleet[attempt.server], result, median, self.now);
            return;
        }
        self.forget_if_slow(attempt, ratio);
        self.eject_if_outlier(attempt, result);
    }

    /// Records an outcome for the health and suspicion of the server, and for the network link to the
    /// server's zone. Also records the latency ratio of a success, for the class and the server.
    fn record_outcome(&mut self, attempt: &InFlightAttempt, outcome: Outcome, ratio: LatencyRatio) {
        let server = &mut self.fleet[attempt.server];
        server.health.record(self.now, outcome);
        server.suspicion.record(self.now, outcome, ratio >= LATE_RATIO);
        self.suspicion.record_outcome(self.now, server.endpoint.zone, outcome);
        if outcome == Outcome::Success {
            self.latency.record_success(attempt.class, ratio, &mut server.latency);
        }
    }

    /// Records a latency that shows the load of its server. Updates the estimates for the server and its
    /// machine kind, slow start, and the server's concurrency limit.
    fn record_latency(&mut self, attempt: &InFlightAttempt, ended: &EndedAttempt, ratio: LatencyRatio) {
        let server = &mut self.fleet[attempt.server];
        let share = capacity_share(&self.settings, &server.endpoint, self.now);
        self.slow_start.record_latency(share, ratio);
        self.latency.record_sample(server.endpoint.machine_kind, ratio, &mut server.latency);
        let sample = LatencySample {
            ratio,
            smoothed_ratio: server.latency.ratio(),
            other_in_flight: server.in_flight,
        };
        server.limit.record(&sample, min_limit(&self.settings));
        server.limit.record_attempt_end(self.now, ended.elapsed);
        if ended.outcome == Outcome::Rejected {
            let objective = self.settings.class(attempt.class).latency_objective;
            server.limit.back_off(self.now, objective, self.latency.typical_ratio(attempt.class));
        }
    }

    /// Removes a server from the router's memory if it is slow and the view is sparse.
    ///
    /// In a sparse view, the balancer's own attempts in flight do not reveal that a noisy neighbour slows
    /// the server down, so the router would continue to remember it.
    fn forget_if_slow(&mut self, attempt: &InFlightAttempt, ratio: LatencyRatio) {
        let is_slow = is_relatively_slow(ratio, self.latency.median_ratio());
        if self.fleet.view() == FleetView::Sparse && is_slow {
            self.router.forget(attempt.server);
        }
    }

    /// Ejects the server of an ended attempt if it is an outlier. In a sparse view, the server is suspected
    /// instead.
    fn eject_if_outlier(&mut self, attempt: &InFlightAttempt, result: AttemptResult) {
        let server = &self.fleet[attempt.server];
        let reason = find_outlier(server, result, self.latency.median_ratio(), self.fleet.view());
        if let Some(reason) = reason {
            self.eject_or_suspect(attempt.server, reason);
        }
    }
}
