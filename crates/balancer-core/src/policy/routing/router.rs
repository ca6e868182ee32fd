//! The routing rule as a whole: candidates, choice and memory.

use super::candidates::CandidateSearch;
use super::context::RoutingContext;
use super::memory::ServerMemory;
use super::request::RoutingRequest;
use super::sample::SampleSize;
use super::selection::Ranking;
use crate::policy::fleet::{FleetView, ServerIndex, ServerRegistry};
use crate::policy::requests::ActiveRequest;

/// Chooses servers and remembers its choices.
#[derive(Default)]
pub struct Router {
    memory: ServerMemory,
}

impl Router {
    /// What the choice must know of a request now.
    pub fn describe(&self, context: &RoutingContext<'_>, active: &ActiveRequest) -> RoutingRequest {
        RoutingRequest::new(context, &self.memory, active)
    }

    /// The candidates for a request; empty if no server is open to it.
    pub fn candidates(
        &self,
        context: &RoutingContext<'_>,
        request: &RoutingRequest,
        rng: &mut fastrand::Rng,
    ) -> Vec<ServerIndex> {
        let sample = SampleSize::of(context.view());
        CandidateSearch { context, memory: &self.memory, request, sample }.find(rng)
    }

    /// The lightest of the candidates; `None` if there are none.
    pub fn lightest(
        &self,
        context: &RoutingContext<'_>,
        request: &RoutingRequest,
        candidates: &[ServerIndex],
        rng: &mut fastrand::Rng,
    ) -> Option<ServerIndex> {
        Ranking { context, memory: &self.memory, request }.lightest(candidates, rng)
    }

    /// Remembers the server that a request is sent to; returns the servers that it displaces.
    pub fn remember(
        &mut self,
        server: ServerIndex,
        request: &RoutingRequest,
        view: FleetView,
    ) -> Vec<ServerIndex> {
        if let Some(key) = request.key {
            self.memory.remember_key(key, server);
        }
        self.memory.remember(server, SampleSize::of(view).remembered)
    }

    /// Whether the idle connections to a server are to be closed. Fresh draws range over the whole fleet, so
    /// open connections would grow to balancers times servers and fill the servers' tables
    /// (docs/findings/fleet-connections.md). In a sparse view a server is met too seldom to be worth a place
    /// in each balancer's: only the connections to remembered servers are kept.
    pub fn releases_connections(&self, fleet: &ServerRegistry, server: ServerIndex) -> bool {
        match fleet.view() {
            FleetView::Dense => false,
            FleetView::Sparse => fleet[server].in_flight == 0 && !self.memory.contains(server),
        }
    }

    /// Forgets a server; the routing keys that were sent to it stay.
    pub fn forget(&mut self, server: ServerIndex) {
        self.memory.forget(server);
    }

    /// Forgets a server and the routing keys that were sent to it.
    pub fn forget_with_keys(&mut self, server: ServerIndex) {
        self.memory.forget_with_keys(server);
    }

    /// Forgets the servers for which `keep` is false; routing keys stay.
    pub fn retain(&mut self, keep: impl Fn(ServerIndex) -> bool) {
        self.memory.retain(keep);
    }

    /// Routing keys remembered.
    #[cfg(test)]
    pub fn key_count(&self) -> usize {
        self.memory.key_count()
    }
}
