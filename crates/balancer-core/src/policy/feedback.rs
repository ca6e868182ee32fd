//! What is learned when an attempt ends.

use super::admission::SLOW_RATIO;
use super::concurrency::{LATE_RATIO, TARGET_RATIO};
use super::outlier::OUTLIER_FACTOR;
use crate::state::{EndedAttempt, InFlightAttempt};
use crate::{Balancer, Outcome};

/// The latency ratio of an attempt that does not show load.
const NO_LOAD: f64 = 0.0;

impl Balancer {
    /// Learns from an ended attempt, module by module.
    pub(crate) fn learn(&mut self, attempt: &InFlightAttempt, ended: &EndedAttempt) {
        let ratio = self.latency_ratio(attempt, ended);
        if ratio > NO_LOAD && !attempt.is_counted_slow {
            self.record_admission(ratio);
        }
        self.learn_outcome(attempt, ended.outcome, ratio);
        if ratio > NO_LOAD {
            self.learn_latency(attempt, ended, ratio);
        }
        if attempt.is_probe {
            return self.finish_probe(attempt.server, ended.outcome, ratio);
        }
        // Own counts do not show that a noisy neighbour slows a server, and it would stay remembered.
        let is_slow = ratio >= SLOW_RATIO && ratio > OUTLIER_FACTOR * self.latency.median_ratio;
        if self.is_sparse() && is_slow {
            self.memory.forget(attempt.server);
        }
        self.eject_outlier(attempt.server, ended.outcome, ratio);
    }

    /// Moves the admission probability by one answer.
    pub(crate) fn record_admission(&mut self, ratio: f64) {
        let (view, balancer_count) = (self.registry.view, self.settings.balancer_count);
        self.admission.record(ratio, self.in_flight.len(), view, balancer_count);
    }

    /// The latency as a share of the class's objective. An attempt that hangs while others are answered in
    /// time shows no load: its connection is lost. A cancelled one may still be queued at the server.
    fn latency_ratio(&self, attempt: &InFlightAttempt, ended: &EndedAttempt) -> f64 {
        let objective = self.settings.classes[attempt.class].latency_objective;
        let server = &self.registry[attempt.server];
        let has_responded = server.health.last_response > attempt.sent_at;
        let is_lost = has_responded && server.latency.ratio < TARGET_RATIO;
        match ended.outcome {
            Outcome::Success => (ended.elapsed.as_millis_f64() / objective.as_millis_f64()).min(LATE_RATIO),
            Outcome::TimedOut | Outcome::Cancelled if is_lost => NO_LOAD,
            Outcome::TimedOut | Outcome::Rejected | Outcome::Cancelled => LATE_RATIO,
            _ => NO_LOAD,
        }
    }

    /// Records what an outcome shows of a server's health and of the link to its zone.
    fn learn_outcome(&mut self, attempt: &InFlightAttempt, outcome: Outcome, ratio: f64) {
        let server = &mut self.registry[attempt.server];
        server.health.record(self.now, outcome, ratio >= LATE_RATIO);
        match outcome {
            Outcome::Success => {
                self.zone_links.record_success(server.endpoint.zone);
                self.latency.record_success(attempt.class, ratio, &mut server.latency);
            }
            Outcome::ConnectFailed => {
                let zone = server.endpoint.zone;
                self.record_connect_failure(zone);
            }
            _ => {}
        }
    }

    /// Records what a latency shows of a server, its kind of machine, slow start and its concurrency limit.
    fn learn_latency(&mut self, attempt: &InFlightAttempt, ended: &EndedAttempt, ratio: f64) {
        let capacity_share = self.capacity_share(&self.registry[attempt.server]);
        let (now, server) = (self.now, &mut self.registry[attempt.server]);
        self.warm_up.record_latency(capacity_share, ratio);
        self.latency.record_sample(server.endpoint.machine_kind, ratio, &mut server.latency);
        let min_limit = 1.0 / f64::from(self.settings.balancer_count.max(1));
        server.limit.record(ratio, server.latency.ratio, server.in_flight, min_limit);
        server.limit.complete(now, ended.elapsed);
        if ended.outcome == Outcome::Rejected {
            let objective = self.settings.classes[attempt.class].latency_objective;
            server.limit.back_off(now, objective, self.latency.classes[attempt.class].typical_ratio);
        }
    }
}
