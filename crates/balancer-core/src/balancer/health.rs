//! The ejection or suspicion of unhealthy servers, and the cancellation of overdue attempts.

use super::Balancer;
use crate::policy::concurrency::LATE_RATIO;
use crate::policy::fleet::{FleetView, ServerIndex};
use crate::policy::outlier;
use crate::policy::overdue::{mark_slow_attempts, OverdueSearch};
use crate::policy::retry::may_cancel_and_retry;
use crate::policy::suspicion::receive_gossip;
use crate::{Action, AttemptId, EjectionReason, LoadReport, Notice, Outcome, ServerId};

impl Balancer {
    /// Handles the end of a health check: records the load report if there is one, and otherwise ejects or
    /// suspects the server if the check failed.
    pub(super) fn end_health_check(
        &mut self,
        server: ServerId,
        outcome: Outcome,
        load_report: Option<&LoadReport>,
    ) {
        let Some(index) = self.fleet.find(server) else { return };
        match load_report {
            Some(report) => self.record_load_report(index, report),
            None if outcome != Outcome::Success => {
                self.eject_or_suspect(index, EjectionReason::FailedHealthCheck);
            }
            None => {}
        }
        self.finish_polls();
    }

    /// Ejects a server in a dense view, or suspects it in a sparse view. An ejected or suspected server is
    /// removed from the router's memory.
    pub(super) fn eject_or_suspect(&mut self, index: ServerIndex, reason: EjectionReason) {
        match self.fleet.view() {
            FleetView::Dense => self.eject_and_notify(index, reason),
            FleetView::Sparse => self.suspect(index),
        }
    }

    /// Ejects a server and notifies the operators. Does nothing if the server is already ejected, or if too
    /// many other servers are.
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

    /// Suspects a server and sends gossip about it to some peers.
    fn suspect(&mut self, index: ServerIndex) {
        self.router.forget(index);
        let server = &mut self.fleet[index];
        for message in self.suspicion.suspect(server, self.now, &self.settings, &mut self.rng) {
            self.actions.push(Action::Gossip { to: Some(message.to), payload: message.payload });
        }
    }

    /// Handles gossip: suspects the server that the message names, and removes all suspected servers from
    /// the router's memory.
    pub(super) fn receive_gossip(&mut self, payload: &[u8]) {
        if receive_gossip(payload, self.now, &mut self.fleet).is_none() {
            return;
        }
        let fleet = &self.fleet;
        self.router.retain(|server| !fleet[server].suspicion.is_active(self.now));
    }

    /// Ejects or suspects the servers that have been silent since an overdue attempt was sent, and cancels
    /// the overdue attempts whose requests can still be retried in time.
    ///
    /// In a sparse view, also counts slow attempts in flight for admission control.
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
            self.eject_or_suspect(attempt.server, EjectionReason::Silent);
        }
        for attempt in overdue {
            self.cancel_if_retriable(attempt.id);
        }
    }

    /// Notifies admission control of each attempt in flight that has just become slow, before the attempt
    /// ends.
    fn count_slow_attempts(&mut self) {
        let newly_slow = mark_slow_attempts(&mut self.in_flight, &self.settings, self.now);
        for _ in 0..newly_slow {
            self.admission.record(LATE_RATIO, self.in_flight.len());
        }
    }

    /// Cancels an overdue attempt if its request can be retried.
    fn cancel_if_retriable(&mut self, id: AttemptId) {
        let Some(active) = self.requests.get(&id.request) else { return };
        if may_cancel_and_retry(active, id, &self.retry_budget, &self.timeliness()) {
            self.actions.push(Action::Cancel { request: id.request, attempt: id.attempt });
        }
    }
}
