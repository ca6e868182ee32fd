//! Ejection, suspicion and overdue attempts.

use super::Balancer;
use crate::policy::concurrency::LATE_RATIO;
use crate::policy::fleet::{FleetView, ServerIndex};
use crate::policy::outlier;
use crate::policy::overdue::{mark_slow_attempts, OverdueSearch};
use crate::policy::requests::AttemptKey;
use crate::policy::retry::may_cancel_and_retry;
use crate::policy::suspicion::receive_gossip;
use crate::{Action, EjectionReason, LoadReport, Notice, Outcome, ServerId};

impl Balancer {
    /// Handles the end of a health check: its load report, or its failure.
    pub(super) fn end_health_check(
        &mut self,
        server: ServerId,
        outcome: Outcome,
        load_report: Option<&LoadReport>,
    ) {
        let Some(index) = self.fleet.find(server) else { return };
        match load_report {
            Some(report) => self.record_load_report(index, report),
            None if outcome != Outcome::Success => self.eject(index, EjectionReason::FailedHealthCheck),
            None => {}
        }
        self.finish_polls();
    }

    /// Excludes a server from selection and memory. In a sparse view it comes under suspicion instead.
    pub(super) fn eject(&mut self, index: ServerIndex, reason: EjectionReason) {
        match self.fleet.view() {
            FleetView::Dense => self.eject_and_notify(index, reason),
            FleetView::Sparse => self.suspect(index),
        }
    }

    fn eject_and_notify(&mut self, index: ServerIndex, reason: EjectionReason) {
        if !outlier::eject(&mut self.fleet, index, self.now) {
            return;
        }
        self.router.forget(index);
        let server = &self.fleet[index];
        self.actions.push(Action::Notify(Notice::ServerEjected {
            server: server.endpoint.server,
            reason,
            latency_ratio: server.latency.ratio(),
            fleet_median: self.latency.median_ratio(),
        }));
    }

    fn suspect(&mut self, index: ServerIndex) {
        self.router.forget(index);
        let server = &mut self.fleet[index];
        for message in self.suspicion.suspect(server, self.now, &self.settings, &mut self.rng) {
            self.actions.push(Action::Gossip { to: Some(message.to), payload: message.payload });
        }
    }

    /// Handles gossip: the server that it names is suspected and forgotten.
    pub(super) fn receive_gossip(&mut self, payload: &[u8]) {
        if receive_gossip(payload, self.now, &mut self.fleet).is_none() {
            return;
        }
        let fleet = &self.fleet;
        self.router.retain(|server| !fleet[server].suspicion.is_active(self.now));
    }

    /// Ejects the silent servers, and cancels the overdue attempts whose request can be retried in time.
    pub(super) fn handle_overdue_attempts(&mut self) {
        let search = OverdueSearch {
            now: self.now,
            settings: &self.settings,
            fleet: &self.fleet,
            latency: &self.latency,
            requests: &self.requests,
        };
        let overdue = search.find(&self.in_flight);
        if self.fleet.view() == FleetView::Sparse {
            self.count_slow_attempts();
        }
        for attempt in overdue.iter().filter(|attempt| attempt.is_server_silent) {
            self.eject(attempt.server, EjectionReason::Silent);
        }
        for attempt in overdue {
            self.cancel_if_retriable(attempt.key);
        }
    }

    fn count_slow_attempts(&mut self) {
        let newly_slow = mark_slow_attempts(&mut self.in_flight, &self.settings, self.now);
        for _ in 0..newly_slow {
            self.admission.record(LATE_RATIO, self.in_flight.len());
        }
    }

    fn cancel_if_retriable(&mut self, key: AttemptKey) {
        let Some(active) = self.requests.get(&key.request) else { return };
        if may_cancel_and_retry(active, key, &self.retry_budget, &self.timeliness()) {
            self.actions.push(Action::Cancel { request: key.request, attempt: key.attempt });
        }
    }
}
