//! Choosing a server for a request and sending it there.

use super::Balancer;
use crate::policy::fleet::ServerIndex;
use crate::policy::requests::{ActiveRequest, Attempt, AttemptKey, AttemptState, InFlightAttempt};
use crate::policy::routing::{Router, RoutingContext, RoutingRequest};
use crate::policy::slow_start::capacity_share;
use crate::{Action, AttemptNumber, RequestId};
use std::collections::BTreeMap;

/// What the choice of a server looks at, and the generator that it draws from.
pub(super) struct ServerChoice<'a> {
    context: RoutingContext<'a>,
    router: &'a Router,
    requests: &'a BTreeMap<RequestId, ActiveRequest>,
    rng: &'a mut fastrand::Rng,
}

impl ServerChoice<'_> {
    /// What the choice must know of a request; `None` if the request has its final answer.
    pub(super) fn describe(&self, id: RequestId) -> Option<RoutingRequest> {
        let active = self.requests.get(&id)?;
        Some(self.router.describe(&self.context, active))
    }

    /// Whether a server may be sent this request now.
    pub(super) fn is_open(&self, server: ServerIndex, request: &RoutingRequest) -> bool {
        self.context.is_open(server, request)
    }

    fn candidates(&mut self, request: &RoutingRequest) -> Vec<ServerIndex> {
        self.router.candidates(&self.context, request, self.rng)
    }

    fn lightest(&mut self, request: &RoutingRequest, candidates: &[ServerIndex]) -> Option<ServerIndex> {
        self.router.lightest(&self.context, request, candidates, self.rng)
    }
}

impl Balancer {
    pub(super) fn server_choice(&mut self) -> ServerChoice<'_> {
        let context = RoutingContext {
            now: self.now,
            settings: &self.settings,
            fleet: &self.fleet,
            latency: &self.latency,
            admission: self.admission.probability(),
            slow_start: &self.slow_start,
            suspicion: &self.suspicion,
            load_reports: &self.load_reports,
            load_polling: &self.load_polling,
        };
        ServerChoice { context, router: &self.router, requests: &self.requests, rng: &mut self.rng }
    }

    /// Sends a request to the lightest candidate, or polls the candidates first. False if there is none.
    pub(super) fn dispatch(&mut self, id: RequestId) -> bool {
        let mut choice = self.server_choice();
        let Some(request) = choice.describe(id) else { return true };
        let candidates = choice.candidates(&request);
        if self.load_polling.is_enabled() && !candidates.is_empty() {
            self.poll_loads(id, candidates);
            return true;
        }
        self.send_to_lightest(&request, &candidates)
    }

    /// The routing rule: sends to the lightest candidate and remembers it. False if there is none.
    pub(super) fn send_to_lightest(&mut self, request: &RoutingRequest, candidates: &[ServerIndex]) -> bool {
        let Some(server) = self.server_choice().lightest(request, candidates) else { return false };
        for displaced in self.router.remember(server, request, self.fleet.view()) {
            self.release_connections(displaced);
        }
        self.send(request, server);
        true
    }

    fn send(&mut self, request: &RoutingRequest, index: ServerIndex) {
        self.record_work(request, index);
        let Some(active) = self.requests.get_mut(&request.id) else { return };
        let server = &mut self.fleet[index];
        server.in_flight += 1;
        server.reported_load.record_send();
        let is_probe = server.health.start_request();
        let attempt = AttemptNumber(active.attempts.len() as u32);
        active.attempts.push(Attempt {
            server: index,
            zone: server.endpoint.zone,
            cell: server.endpoint.cell,
            sent_at: self.now,
            state: AttemptState::InFlight,
        });
        let in_flight = InFlightAttempt {
            server: index,
            class: request.class,
            sent_at: self.now,
            is_probe,
            is_counted_slow: false,
        };
        self.in_flight.insert(AttemptKey { request: request.id, attempt }, in_flight);
        self.actions.push(Action::Send {
            request: request.id,
            server: server.endpoint.server,
            timeout_at: active.deadline,
            write_by: request.permission.write_by,
        });
    }

    fn record_work(&mut self, request: &RoutingRequest, index: ServerIndex) {
        let server = &mut self.fleet[index];
        let share = capacity_share(&self.settings, &server.endpoint, self.now);
        self.slow_start.record_work(&self.settings, &mut server.warm_up_work, share, request.work, self.now);
    }

    /// Closes the idle connections to a server that is not worth them.
    pub(super) fn release_connections(&mut self, index: ServerIndex) {
        if self.router.releases_connections(&self.fleet, index) {
            let server = self.fleet[index].endpoint.server;
            self.actions.push(Action::CloseIdle { server });
        }
    }
}
