//! The selection of a server for a request, and the sending of the request.

use super::Balancer;
use crate::policy::fleet::ServerIndex;
use crate::policy::requests::{ActiveRequest, Attempt, AttemptState, InFlightAttempt};
use crate::policy::routing::{Router, RoutingContext, RoutingRequest};
use crate::policy::slow_start::capacity_share;
use crate::{Action, AttemptId, AttemptNumber, RequestId};
use std::collections::BTreeMap;

/// The [`Router`], together with everything that its decisions depend on.
pub(super) struct ServerSelector<'a> {
    context: RoutingContext<'a>,
    router: &'a Router,
    requests: &'a BTreeMap<RequestId, ActiveRequest>,
    rng: &'a mut fastrand::Rng,
}

impl ServerSelector<'_> {
    /// Returns the properties of a request that server selection depends on, or `None` if the request is
    /// finished.
    pub(super) fn routing_request(&self, id: RequestId) -> Option<RoutingRequest> {
        let active = self.requests.get(&id)?;
        Some(self.router.routing_request(&self.context, active))
    }

    /// Returns whether a request may be sent to a server now.
    pub(super) fn is_eligible(&self, server: ServerIndex, request: &RoutingRequest) -> bool {
        self.context.is_eligible(server, request)
    }

    /// Draws the candidate servers for a request. The result is empty if no server is eligible.
    fn candidates(&mut self, request: &RoutingRequest) -> Vec<ServerIndex> {
        self.router.candidates(&self.context, request, self.rng)
    }

    /// Returns the least loaded candidate, or `None` if there are no candidates.
    fn least_loaded(&mut self, request: &RoutingRequest, candidates: &[ServerIndex]) -> Option<ServerIndex> {
        self.router.least_loaded(&self.context, request, candidates, self.rng)
    }
}

impl Balancer {
    /// Creates a selector that works on the current state of the balancer.
    pub(super) fn server_selector(&mut self) -> ServerSelector<'_> {
        let context = RoutingContext {
            now: self.now,
            settings: &self.settings,
            fleet: &self.fleet,
            latency: &self.latency,
            admission_probability: self.admission.probability(),
            slow_start: &self.slow_start,
            suspicion: &self.suspicion,
            load_reports: &self.load_reports,
            load_polling: &self.load_polling,
        };
        ServerSelector { context, router: &self.router, requests: &self.requests, rng: &mut self.rng }
    }

    /// Sends a request to the least loaded candidate, or polls the candidates first if polling is enabled.
    /// Returns `false` if no server is eligible.
    pub(super) fn dispatch(&mut self, id: RequestId) -> bool {
        let mut selector = self.server_selector();
        let Some(request) = selector.routing_request(id) else { return true };
        let candidates = selector.candidates(&request);
        if self.load_polling.is_enabled() && !candidates.is_empty() {
            self.poll_loads(id, candidates);
            return true;
        }
        self.send_to_least_loaded(&request, &candidates)
    }

    /// Sends a request to the least loaded candidate, and adds that server to the router's memory. Closes
    /// the idle connections to servers that drop out of the memory. Returns `false` if there are no
    /// candidates.
    pub(super) fn send_to_least_loaded(
        &mut self,
        request: &RoutingRequest,
        candidates: &[ServerIndex],
    ) -> bool {
        let Some(server) = self.server_selector().least_loaded(request, candidates) else { return false };
        for displaced in self.router.remember(server, request, self.fleet.view()) {
            self.close_idle_connections(displaced);
        }
        self.send(request, server);
        true
    }

    /// Records an attempt to a server and emits the action that sends it.
    fn send(&mut self, request: &RoutingRequest, index: ServerIndex) {
        self.record_work(request, index);
        let Some(active) = self.requests.get_mut(&request.id) else { return };
        let server = &mut self.fleet[index];
        server.in_flight += 1;
        server.reported_load.record_send();
        let is_probe = server.health.record_send();
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
            response_progress_at: None,
            is_probe,
            is_counted_slow: false,
        };
        self.in_flight.insert(AttemptId { request: request.id, attempt }, in_flight);
        self.actions.push(Action::Send {
            request: request.id,
            server: server.endpoint.server,
            timeout_at: active.deadline,
            write_by: request.permission.write_by,
        });
    }

    /// Records the work of a request that is sent to a server, for slow start.
    fn record_work(&mut self, request: &RoutingRequest, index: ServerIndex) {
        let server = &mut self.fleet[index];
        let share = capacity_share(&self.settings, &server.endpoint, self.now);
        self.slow_start.record_work(&self.settings, &mut server.warm_up_work, share, request.work, self.now);
    }

    /// Closes the idle connections to a server if the router no longer needs them.
    pub(super) fn close_idle_connections(&mut self, index: ServerIndex) {
        if self.router.should_close_idle_connections(&self.fleet, index) {
            let server = self.fleet[index].endpoint.server;
            self.actions.push(Action::CloseIdle { server });
        }
    }
}
