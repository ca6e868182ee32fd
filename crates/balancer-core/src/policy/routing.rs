//! The routing rule: the lightest remembered server against fresh uniform draws, by own requests in flight.
//! The request goes to the lightest, and that server is remembered (DESIGN page; the paper's (d, m) policy).

use super::retry::{AttemptPermission, RetryScope};
use super::Ejection;
use crate::state::{ActiveRequest, Attempt, AttemptKey, AttemptState, InFlightAttempt, ServerIndex};
use crate::{Action, AttemptNumber, Balancer, Effect, RequestId, RoutingKey, Span};

/// Remembered servers (m) and fresh draws (d) of each choice; the paper asks for d >= m.
const REMEMBERED: usize = 1;
const DRAWS: usize = 3;
/// Both, in a sparse view: a connection that stays open is what saves a server the work of a handshake.
const SPARSE_SAMPLE: usize = 6;
/// The most candidates of one choice.
pub const MAX_CANDIDATES: usize = 2 * SPARSE_SAMPLE;
/// Servers are drawn by rejection, so many tries for each, so that a choice costs the same in a large fleet.
const TRIES_PER_DRAW: usize = 4;
/// Bounds of a request's work, over what is usual for its class, when it is weighed against a slow machine.
const MIN_RELATIVE_WORK: f64 = 1.0;
const MAX_RELATIVE_WORK: f64 = 9.0;

/// What the choice of a server must know of its request.
pub struct RoutingRequest {
    pub id: RequestId,
    pub class: usize,
    pub permission: AttemptPermission,
    /// A guess at its work, in milliseconds.
    pub work: f64,
    /// How much its work weighs a machine's slowness.
    pub work_weight: f64,
    /// Its routing key, where servers serve a known one with less work, and the last server of that key.
    pub key: Option<RoutingKey>,
    pub key_server: Option<ServerIndex>,
    /// Servers that its attempts so far were sent to.
    pub tried: Vec<ServerIndex>,
}

impl Balancer {
    /// Sends a request to the lightest candidate, or polls the candidates first. False if there is none.
    pub(crate) fn dispatch(&mut self, id: RequestId) -> bool {
        let Some(active) = self.requests.get(&id) else { return true };
        let routing = self.routing_request(active);
        let candidates = self.candidates(&routing);
        if self.polls_loads() && !candidates.is_empty() {
            self.poll_loads(id, candidates);
            return true;
        }
        self.send_to_lightest(&routing, &candidates)
    }

    /// The rule: sends to the lightest candidate and remembers it. False if there is none.
    pub(crate) fn send_to_lightest(&mut self, routing: &RoutingRequest, candidates: &[ServerIndex]) -> bool {
        let Some(server) = self.lightest(candidates, routing) else { return false };
        self.remember(server, routing.key);
        self.send(routing, server);
        true
    }

    /// What the choice must know of a request.
    pub(crate) fn routing_request(&self, active: &ActiveRequest) -> RoutingRequest {
        let class = active.class();
        let key = active.request.routing_key.filter(|_| self.settings.has_key_affinity);
        let work = self.estimated_work(active);
        let relative_work = work / self.latency.typical_latency_ms(&self.settings, class);
        RoutingRequest {
            id: active.request.id,
            class,
            permission: AttemptPermission::of(&self.settings, active, self.now),
            work,
            work_weight: relative_work.clamp(MIN_RELATIVE_WORK, MAX_RELATIVE_WORK).sqrt(),
            key,
            key_server: key.and_then(|key| self.memory.server_of_key(key)),
            tried: active.attempts.iter().map(|attempt| attempt.server).collect(),
        }
    }

    /// A guess at a request's work in milliseconds: its hint, else the usual latency of its class.
    pub(crate) fn estimated_work(&self, active: &ActiveRequest) -> f64 {
        let usual_work = || self.latency.typical_latency_ms(&self.settings, active.class());
        active.request.cost_hint.map_or_else(usual_work, Span::as_millis_f64)
    }

    /// Fresh uniform draws from the servers that are open to the request, and the remembered ones that are.
    /// Only if there are none is each server looked at; those that were tried before come last.
    fn candidates(&mut self, routing: &RoutingRequest) -> Vec<ServerIndex> {
        let draws = if self.is_sparse() { SPARSE_SAMPLE } else { DRAWS };
        let mut candidates = Vec::with_capacity(MAX_CANDIDATES + 1);
        for _ in 0..TRIES_PER_DRAW * draws {
            if candidates.len() >= draws || self.registry.serving.is_empty() {
                break;
            }
            let server = self.registry.serving[self.rng.usize(0..self.registry.serving.len())];
            if self.is_open_afresh(server, routing) && self.passes_slow_start(server) {
                candidates.push(server);
            }
        }
        for server in self.memory.servers().to_vec().into_iter().chain(routing.key_server) {
            // It passed slow start to be remembered; checked again, it would get the square of its share.
            let has_passed = !self.polls_loads() && self.memory.contains(server);
            if self.is_open_afresh(server, routing) && (has_passed || self.passes_slow_start(server)) {
                candidates.push(server);
            }
        }
        if candidates.is_empty() {
            let serving = self.registry.serving.iter().copied();
            let open = serving.filter(|&server| self.is_open(server, routing));
            let (tried, fresh): (Vec<_>, Vec<_>) = open.partition(|server| routing.tried.contains(server));
            let open = if fresh.is_empty() { tried } else { fresh };
            candidates.extend((0..draws.min(open.len())).map(|_| open[self.rng.usize(0..open.len())]));
        }
        candidates
    }

    fn is_open_afresh(&self, server: ServerIndex, routing: &RoutingRequest) -> bool {
        !routing.tried.contains(&server) && self.is_open(server, routing)
    }

    /// Whether a server may be sent this request now.
    pub(crate) fn is_open(&self, index: ServerIndex, routing: &RoutingRequest) -> bool {
        let (now, server) = (self.now, &self.registry[index]);
        let is_in_scope = match routing.permission.scope {
            RetryScope::Nowhere => false,
            RetryScope::Anywhere => true,
            RetryScope::Zone(zone) => server.endpoint.zone == zone,
            RetryScope::Cell(cell) => server.endpoint.cell == cell,
        };
        if !is_in_scope || !server.endpoint.is_serving() {
            return false;
        }
        if self.is_sparse() {
            return !server.limit.is_backing_off(now);
        }
        let is_idempotent = self.settings.classes[routing.class].effect == Effect::Idempotent;
        let may_probe = |ejection: &Ejection| ejection.is_probe_due(now, is_idempotent);
        let capacity_share = self.capacity_share(server);
        server.health.ejection.as_ref().is_none_or(may_probe)
            && !self.exceeds_share(server, capacity_share, routing.work)
            && server.limit.has_capacity(now, server.in_flight, self.admission.probability, capacity_share)
    }

    fn remember(&mut self, server: ServerIndex, key: Option<RoutingKey>) {
        if let Some(key) = key {
            self.memory.remember_key(key, server);
        }
        let capacity = if self.is_sparse() { SPARSE_SAMPLE } else { REMEMBERED };
        for displaced in self.memory.remember(server, capacity) {
            self.release_connections(displaced);
        }
    }

    /// Fresh draws range over the whole fleet, so open connections would grow to balancers times servers and
    /// fill the servers' tables. In a sparse view a server is met too seldom to be worth a place in each:
    /// only the connections to remembered servers are kept.
    pub(crate) fn release_connections(&mut self, index: ServerIndex) {
        let server = &self.registry[index];
        if server.in_flight == 0 && self.is_sparse() && !self.memory.contains(index) {
            self.actions.push(Action::CloseIdle { server: server.endpoint.server });
        }
    }

    fn send(&mut self, routing: &RoutingRequest, index: ServerIndex) {
        let (now, request) = (self.now, routing.id);
        self.record_work(index, routing.work);
        let Some(active) = self.requests.get_mut(&request) else { return };
        let server = &mut self.registry[index];
        server.in_flight += 1;
        server.reported_load.record_send();
        server.health.ejection.iter_mut().for_each(Ejection::start_probe);
        let is_probe = server.health.ejection.is_some();
        let attempt = AttemptNumber(active.attempts.len() as u32);
        let (zone, cell, state) = (server.endpoint.zone, server.endpoint.cell, AttemptState::InFlight);
        active.attempts.push(Attempt { server: index, zone, cell, sent_at: now, state });
        let class = routing.class;
        let in_flight =
            InFlightAttempt { server: index, class, sent_at: now, is_probe, is_counted_slow: false };
        self.in_flight.insert(AttemptKey { request, attempt }, in_flight);
        let (timeout_at, write_by) = (active.deadline, routing.permission.write_by);
        self.actions.push(Action::Send { request, server: server.endpoint.server, timeout_at, write_by });
    }
}
