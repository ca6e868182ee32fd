//! The registry of servers: adding, updating and forgetting them as the endpoint list says.

use super::server::ServerState;
use super::view::FleetView;
use crate::{Endpoint, EndpointStatus, MachineKindId, ServerId, Span, Time, ZoneId};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Index, IndexMut};

/// A removed server is remembered this long: one that a list leaves out by mistake soon returns.
const REMOVED_RETENTION: Span = Span::from_secs(10);

/// Position of a server in the registry; valid until the server is forgotten.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerIndex(usize);

/// All servers that the balancer knows.
pub struct ServerRegistry {
    servers: Vec<ServerState>,
    by_id: BTreeMap<ServerId, ServerIndex>,
    /// Positions whose server has been forgotten; nothing refers to them.
    free: Vec<ServerIndex>,
    /// Servers that the endpoint list says are serving.
    serving: Vec<ServerIndex>,
    /// The most servers that were serving at a time. A fleet that shrinks for a while makes no view sparse.
    peak_serving: usize,
    view: FleetView,
}

impl ServerRegistry {
    /// A registry that knows no server.
    pub fn new() -> Self {
        ServerRegistry {
            servers: Vec::new(),
            by_id: BTreeMap::new(),
            free: Vec::new(),
            serving: Vec::new(),
            peak_serving: 0,
            view: FleetView::Dense,
        }
    }

    /// Where the server is, if it is known.
    pub fn find(&self, server: ServerId) -> Option<ServerIndex> {
        self.by_id.get(&server).copied()
    }

    /// The serving servers.
    pub fn serving(&self) -> &[ServerIndex] {
        &self.serving
    }

    /// The states of the serving servers.
    pub fn serving_states(&self) -> impl Iterator<Item = &ServerState> {
        self.serving.iter().map(|&index| &self[index])
    }

    /// How much of a server's load this balancer sees.
    pub fn view(&self) -> FleetView {
        self.view
    }

    /// Updates the entries of the endpoint list and returns the servers that run a new process. A complete
    /// list removes what it leaves out.
    pub fn update(&mut self, now: Time, endpoints: Vec<Endpoint>, is_complete: bool) -> Vec<ServerIndex> {
        if is_complete {
            for server in &mut self.servers {
                server.endpoint.status = EndpointStatus::Removed;
            }
        }
        let mut restarted = Vec::new();
        for endpoint in endpoints {
            restarted.extend(self.update_one(now, endpoint));
        }
        for server in &mut self.servers {
            let is_removed = server.endpoint.status == EndpointStatus::Removed;
            server.removed_at = is_removed.then(|| server.removed_at.unwrap_or(now));
        }
        restarted
    }

    /// Updates one entry; returns the server if it runs a new process.
    fn update_one(&mut self, now: Time, endpoint: Endpoint) -> Option<ServerIndex> {
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

    fn add(&mut self, server: ServerState) {
        let id = server.endpoint.server;
        let index = if let Some(index) = self.free.pop() {
            self[index] = server;
            index
        } else {
            self.servers.push(server);
            ServerIndex(self.servers.len() - 1)
        };
        self.by_id.insert(id, index);
    }

    /// Recounts the serving servers.
    pub fn refresh_serving(&mut self) {
        let indices = (0..self.servers.len()).map(ServerIndex);
        self.serving = indices.filter(|&index| self[index].endpoint.is_serving()).collect();
    }

    /// Decides anew how much this balancer sees, as one of `balancer_count`.
    pub fn refresh_view(&mut self, balancer_count: u32) {
        self.peak_serving = self.peak_serving.max(self.serving.len());
        self.view = FleetView::of(balancer_count, self.peak_serving);
    }

    /// Servers that were removed a while ago and have no own attempt in flight.
    pub fn removed_long_ago(&self, now: Time) -> Vec<ServerIndex> {
        let is_old = |server: &ServerState| {
            server.removed_at.is_some_and(|at| now.since(at) >= REMOVED_RETENTION) && server.in_flight == 0
        };
        self.by_id.values().copied().filter(|&index| is_old(&self[index])).collect()
    }

    /// Forgets a server and frees its position. Nothing may refer to it any more; otherwise what was meant
    /// for it would reach the next server at its position.
    pub fn forget(&mut self, index: ServerIndex) {
        let id = self[index].endpoint.server;
        self.by_id.remove(&id);
        self.free.push(index);
    }

    /// Entries in each of its tables.
    #[cfg(test)]
    pub fn sizes(&self) -> [usize; 3] {
        [self.servers.len(), self.by_id.len(), self.free.len()]
    }

    /// The states of all servers, known or forgotten.
    #[cfg(test)]
    pub fn all_states(&self) -> impl Iterator<Item = &ServerState> {
        self.servers.iter()
    }

    /// Zones of the servers that are known.
    pub fn zones(&self) -> BTreeSet<ZoneId> {
        self.by_id.values().map(|&index| self[index].endpoint.zone).collect()
    }

    /// Kinds of machine of the servers that are known.
    pub fn machine_kinds(&self) -> BTreeSet<MachineKindId> {
        self.by_id.values().map(|&index| self[index].endpoint.machine_kind).collect()
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
