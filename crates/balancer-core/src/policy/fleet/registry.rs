//! The registry of servers, which adds, updates and forgets servers as the endpoint list changes.

use super::server::ServerState;
use super::view::FleetView;
use crate::{Endpoint, EndpointStatus, MachineKindId, ServerId, Span, Time, ZoneId};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Index, IndexMut};

/// Minimum time for which the state of a removed server is kept. A server that an endpoint list omits by
/// mistake is soon listed again, and should then still have its state.
const REMOVED_RETENTION: Span = Span::from_secs(10);

/// The position of a server in the registry. An index is valid until its server is forgotten.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerIndex(usize);

/// All known servers and their states.
pub struct ServerRegistry {
    /// The states by position. A free position holds the state of a forgotten server.
    servers: Vec<ServerState>,
    /// The positions of the known servers.
    index_by_id: BTreeMap<ServerId, ServerIndex>,
    /// Positions of forgotten servers, which can be reused because nothing refers to them.
    free_positions: Vec<ServerIndex>,
    /// The serving servers, as of the last call of `refresh_serving`.
    serving: Vec<ServerIndex>,
    /// The largest number of servers that were serving at the same time. The view depends on this peak, so
    /// that it does not become sparse when the fleet shrinks for a while.
    peak_serving: usize,
    /// How much of each server's load this balancer can see.
    view: FleetView,
}

impl ServerRegistry {
    /// Creates an empty registry.
    pub fn new() -> Self {
        ServerRegistry {
            servers: Vec::new(),
            index_by_id: BTreeMap::new(),
            free_positions: Vec::new(),
            serving: Vec::new(),
            peak_serving: 0,
            view: FleetView::Dense,
        }
    }

    /// Returns the index of a server, or `None` if the server is not known.
    pub fn find(&self, server: ServerId) -> Option<ServerIndex> {
        self.index_by_id.get(&server).copied()
    }

    /// Returns the indices of the serving servers.
    pub fn serving(&self) -> &[ServerIndex] {
        &self.serving
    }

    /// Returns the states of the serving servers.
    pub fn serving_states(&self) -> impl Iterator<Item = &ServerState> {
        self.serving.iter().map(|&index| &self[index])
    }

    /// Returns how much of each server's load this balancer can see.
    pub fn view(&self) -> FleetView {
        self.view
    }

    /// Applies entries of the endpoint list and returns the servers that have started a new process. If the
    /// entries are the complete list, servers that are missing from it are marked as removed.
    pub fn update(&mut self, now: Time, endpoints: Vec<Endpoint>, is_complete: bool) -> Vec<ServerIndex> {
        if is_complete {
            for server in &mut self.servers {
                server.endpoint.status = EndpointStatus::Removed;
            }
        }
        let mut restarted = Vec::new();
        for endpoint in endpoints {
            restarted.extend(self.update_endpoint(now, endpoint));
        }
        for server in &mut self.servers {
            let is_removed = server.endpoint.status == EndpointStatus::Removed;
            server.removed_at = is_removed.then(|| server.removed_at.unwrap_or(now));
        }
        restarted
    }

    /// Applies one entry of the endpoint list. Returns the server if it has started a new process.
    fn update_endpoint(&mut self, now: Time, endpoint: Endpoint) -> Option<ServerIndex> {
        let Some(index) = self.find(endpoint.server) else {
            self.add(ServerState::new(endpoint, now));
            return None;
        };
        let server = &mut self[index];
        if endpoint.started_at.is_some() && endpoint.started_at != server.endpoint.started_at {
            server.restart(endpoint, now);
            return Some(index);
        }
        server.endpoint = endpoint;
        None
    }

    /// Adds a server at a free position or at the end.
    fn add(&mut self, server: ServerState) {
        let id = server.endpoint.server;
        let index = if let Some(index) = self.free_positions.pop() {
            self[index] = server;
            index
        } else {
            self.servers.push(server);
            ServerIndex(self.servers.len() - 1)
        };
        self.index_by_id.insert(id, index);
    }

    /// Updates the list of serving servers from the endpoint statuses.
    pub fn refresh_serving(&mut self) {
        let indices = (0..self.servers.len()).map(ServerIndex);
        self.serving = indices.filter(|&index| self[index].endpoint.is_serving()).collect();
    }

    /// Updates the view and the peak number of serving servers; `balancer_count` balancers share the fleet.
    pub fn refresh_view(&mut self, balancer_count: u32) {
        self.peak_serving = self.peak_serving.max(self.serving.len());
        self.view = FleetView::of(balancer_count, self.peak_serving);
    }

    /// Returns the servers that were removed at least [`REMOVED_RETENTION`] ago and have no own attempt in
    /// flight.
    pub fn expired_servers(&self, now: Time) -> Vec<ServerIndex> {
        let is_expired = |server: &ServerState| {
            server.removed_at.is_some_and(|at| now.since(at) >= REMOVED_RETENTION) && server.in_flight == 0
        };
        self.index_by_id.values().copied().filter(|&index| is_expired(&self[index])).collect()
    }

    /// Forgets a server and frees its position. Nothing may refer to the server any more: an outcome that is
    /// recorded under an old index would be attributed to the next server at the same position.
    pub fn forget(&mut self, index: ServerIndex) {
        let id = self[index].endpoint.server;
        self.index_by_id.remove(&id);
        self.free_positions.push(index);
    }

    /// Returns the numbers of positions, known servers and free positions.
    #[cfg(test)]
    pub fn sizes(&self) -> [usize; 3] {
        [self.servers.len(), self.index_by_id.len(), self.free_positions.len()]
    }

    /// Returns the states at all positions, including those of forgotten servers.
    #[cfg(test)]
    pub fn all_states(&self) -> impl Iterator<Item = &ServerState> {
        self.servers.iter()
    }

    /// Returns the zones of the known servers.
    pub fn zones(&self) -> BTreeSet<ZoneId> {
        self.index_by_id.values().map(|&index| self[index].endpoint.zone).collect()
    }

    /// Returns the machine kinds of the known servers.
    pub fn machine_kinds(&self) -> BTreeSet<MachineKindId> {
        self.index_by_id.values().map(|&index| self[index].endpoint.machine_kind).collect()
    }
}

impl Index<ServerIndex> for ServerRegistry {
    type Output = ServerState;

    fn index(&self, index: ServerIndex) -> &ServerState {
        &self.servers[index.0]
    }
}

impl IndexMut<ServerIndex> for ServerRegistry {
    fn index_mut(&mut self, index: ServerIndex) -> &mut ServerState {
        &mut self.servers[index.0]
    }
}

#[cfg(test)]
mod tests;
