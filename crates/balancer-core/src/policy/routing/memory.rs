//! The memory of the routing rule: the servers selected most recently, and the last server of each routing
//! key.

use crate::policy::fleet::ServerIndex;
use crate::RoutingKey;
use std::collections::BTreeMap;

/// Maximum number of remembered routing keys.
///
/// When this number is reached, the next request with a routing key causes all keys to be forgotten. Each
/// forgotten key costs one request that a server serves without cached data.
const MAX_ROUTING_KEYS: usize = 10_000;

/// The servers that were selected most recently, and the server that each routing key was last sent to.
#[derive(Default)]
pub struct ServerMemory {
    /// The remembered servers, most recently selected first, each once.
    servers: Vec<ServerIndex>,
    /// The server that each routing key was last sent to.
    server_by_key: BTreeMap<RoutingKey, ServerIndex>,
}

impl ServerMemory {
    /// Returns the remembered servers, most recently selected first.
    pub fn servers(&self) -> &[ServerIndex] {
        &self.servers
    }

    /// Returns whether the server is remembered.
    pub fn contains(&self, server: ServerIndex) -> bool {
        self.servers.contains(&server)
    }

    /// Returns the server that a routing key was last sent to.
    pub fn server_of_key(&self, key: RoutingKey) -> Option<ServerIndex> {
        self.server_by_key.get(&key).copied()
    }

    /// Returns the number of remembered routing keys.
    #[cfg(test)]
    pub fn key_count(&self) -> usize {
        self.server_by_key.len()
    }

    /// Remembers the selected server as the most recent one. If more than `capacity` servers are then
    /// remembered, forgets and returns the least recently selected ones.
    pub fn remember(&mut self, server: ServerIndex, capacity: usize) -> Vec<ServerIndex> {
        self.forget(server);
        self.servers.insert(0, server);
        self.servers.split_off(capacity.min(self.servers.len()))
    }

    /// Remembers the server that a routing key is sent to.
    pub fn remember_key(&mut self, key: RoutingKey, server: ServerIndex) {
        if self.server_by_key.len() >= MAX_ROUTING_KEYS {
            self.server_by_key.clear();
        }
        self.server_by_key.insert(key, server);
    }

    /// Forgets a server, but not the routing keys that were last sent to it.
    pub fn forget(&mut self, server: ServerIndex) {
        self.retain(|remembered| remembered != server);
    }

    /// Forgets a server and the routing keys that were last sent to it.
    pub fn forget_with_keys(&mut self, server: ServerIndex) {
        self.forget(server);
        self.server_by_key.retain(|_, key_server| *key_server != server);
    }

    /// Forgets the servers for which `keep` returns `false`, but not their routing keys.
    pub fn retain(&mut self, keep: impl Fn(ServerIndex) -> bool) {
        self.servers.retain(|&server| keep(server));
    }
}

#[cfg(test)]
mod tests;
