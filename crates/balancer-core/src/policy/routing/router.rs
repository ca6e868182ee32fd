//! The router, which combines candidate search, selection and memory.

use super::candidates::CandidateSearch;
use super::context::RoutingContext;
use super::memory::ServerMemory;
use super::request::RoutingRequest;
use super::sample::SampleSize;
use super::selection::Ranking;
use crate::policy::fleet::{FleetView, ServerIndex, ServerRegistry};
use crate::policy::requests::ActiveRequest;

/// The component that selects servers for requests and remembers the selected servers.
#[derive(Default)]
pub struct Router {
    /// The remembered servers and routing keys.
    memory: ServerMemory,
}

impl Router {
    /// Collects the properties of an active request that server selection depends on.
    pub fn routing_request(&self, context: &RoutingContext<'_>, active: &ActiveRequest) -> RoutingRequest {
        RoutingRequest::new(context, &self.memory, active)
    }

    /// Returns the candidates for a request. The list is empty if no server is eligible.
    pub fn candidates(
        &self,
        context: &RoutingContext<'_>,
        request: &RoutingRequest,
        rng: &mut fastrand::Rng,
    ) -> Vec<ServerIndex> {
        let sample_size = SampleSize::of(context.view());
        CandidateSearch { context, memory: &self.memory, request, sample_size }.find(rng)
    }

    /// Returns the least loaded of the candidates; `None` if there are none.
    pub fn least_loaded(
        &self,
        context: &RoutingContext<'_>,
        request: &RoutingRequest,
        candidates: &[ServerIndex],
        rng: &mut fastrand::Rng,
    ) -> Option<ServerIndex> {
        Ranking { context, memory: &self.memory, request }.least_loaded(candidates, rng)
    }

    /// Remembers the server that a request is sent to, also for the request's routing key. Returns the
    /// servers that are forgotten to make room.
    pub fn remember(
        &mut self,
        server: ServerIndex,
        request: &RoutingRequest,
        view: FleetView,
    ) -> Vec<ServerIndex> {
        if let Some(key) = request.routing_key {
            self.memory.remember_key(key, server);
        }
        self.memory.remember(server, SampleSize::of(view).remembered)
    }

    /// Returns whether the idle connections to a server should be closed.
    ///
    /// Candidates are drawn from the whole fleet. If all connections stayed open, their number would grow to
    /// the number of balancers times the number of servers, and the servers' connection tables would fill up
    /// (docs/findings/fleet-connections.md). In a sparse view, a balancer sends to a given server too rarely
    /// to occupy an entry in its table, so only the connections to remembered servers are kept.
    pub fn should_close_idle_connections(&self, fleet: &ServerRegistry, server: ServerIndex) -> bool {
        match fleet.view() {
            FleetView::Dense => false,
            FleetView::Sparse => fleet[server].in_flight == 0 && !self.memory.contains(server),
        }
    }

    /// Forgets a server, but not the routing keys that were last sent to it.
    pub fn forget(&mut self, server: ServerIndex) {
        self.memory.forget(server);
    }

    /// Forgets a server and the routing keys that were last sent to it.
    pub fn forget_with_keys(&mut self, server: ServerIndex) {
        self.memory.forget_with_keys(server);
    }

    /// Forgets the servers for which `keep` returns `false`, but not their routing keys.
    pub fn retain(&mut self, keep: impl Fn(ServerIndex) -> bool) {
        self.memory.retain(keep);
    }

    /// Returns the number of remembered routing keys.
    #[cfg(test)]
    pub fn key_count(&self) -> usize {
        self.memory.key_count()
    }
}
