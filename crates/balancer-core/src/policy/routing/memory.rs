//! The memory of the routing rule: the servers that were chosen last, and the server of each routing key.

use crate::policy::fleet::ServerIndex;
use crate::RoutingKey;
use std::collections::BTreeMap;

/// Routing keys remembered; beyond that all are forgotten, which costs each of them one uncached run.
const MAX_KEYS: usize = 10_000;

/// The remembered servers, most recently chosen first, and the server that each routing key was last sent to.
#[derive(Default)]
pub struct ServerMemory {
    servers: Vec<ServerIndex>,
    keys: BTreeMap<RoutingKey, ServerIndex>,
}

impl ServerMemory {
    /// The remembered servers, most recently chosen first.
    pub fn servers(&self) -> &[ServerIndex] {
        &self.servers
    }

    /// Whether the server is remembered.
    pub fn contains(&self, server: ServerIndex) -> bool {
        self.servers.contains(&server)
    }

    /// The server that a key was last sent to.
    pub fn server_of_key(&self, key: RoutingKey) -> Option<ServerIndex> {
        self.keys.get(&key).copied()
    }

    /// Routing keys remembered.
    #[cfg(test)]
    pub fn key_count(&self) -> usize {
        self.keys.len()
    }

    /// Remembers the chosen server and returns those that it displaces from the `capacity` places.
    pub fn remember(&mut self, server: ServerIndex, capacity: usize) -> Vec<ServerIndex> {
        self.forget(server);
        self.servers.insert(0, server);
        self.servers.split_off(capacity.min(self.servers.len()))
    }

    /// Remembers the server that a key was sent to.
    pub fn remember_key(&mut self, key: RoutingKey, server: ServerIndex) {
        if self.keys.len() >= MAX_KEYS {
            self.keys.clear();
        }
        self.keys.insert(key, server);
    }

    /// Forgets a server; its routing keys stay.
    pub fn forget(&mut self, server: ServerIndex) {
        self.retain(|remembered| remembered != server);
    }

    /// Forgets a server and its routing keys.
    pub fn forget_with_keys(&mut self, server: ServerIndex) {
        self.forget(server);
        self.keys.retain(|_, of_key| *of_key != server);
    }

    /// Forgets the servers for which `keep` is false; their routing keys stay.
    pub fn retain(&mut self, keep: impl Fn(ServerIndex) -> bool) {
        self.servers.retain(|&server| keep(server));
    }
}

#[cfg(test)]
mod tests;
