//! The endpoint list as the rule checker has observed it.

use balancer_core::{Endpoint, EndpointUpdate, ServerId, Span, Time};
use std::collections::{BTreeMap, BTreeSet};

/// All endpoints that have ever been listed, and the servers that are draining or removed.
#[derive(Default)]
pub struct ObservedFleet {
    /// The latest entry of each server.
    endpoints: BTreeMap<ServerId, Endpoint>,
    /// When the balancer was notified that a server is draining or removed, for each such server.
    draining_since: BTreeMap<ServerId, Time>,
}

impl ObservedFleet {
    /// Applies an update of the endpoint list and returns the servers that have restarted.
    pub fn update(&mut self, now: Time, update: &EndpointUpdate) -> Vec<ServerId> {
        match update {
            EndpointUpdate::Changes(endpoints) => self.insert_all(now, endpoints),
            EndpointUpdate::Complete(endpoints) | EndpointUpdate::Cached(endpoints) => {
                self.mark_unlisted_as_draining(now, endpoints);
                self.insert_all(now, endpoints)
            }
            EndpointUpdate::Failed => Vec::new(),
        }
    }

    /// Marks all servers that a complete endpoint list does not contain as draining.
    fn mark_unlisted_as_draining(&mut self, now: Time, listed: &[Endpoint]) {
        let listed: BTreeSet<ServerId> = listed.iter().map(|endpoint| endpoint.server).collect();
        for server in self.endpoints.keys().filter(|server| !listed.contains(server)) {
            self.draining_since.entry(*server).or_insert(now);
        }
    }

    /// Inserts endpoints and returns the servers that have restarted. If a server has several entries, its
    /// last entry applies.
    fn insert_all(&mut self, now: Time, endpoints: &[Endpoint]) -> Vec<ServerId> {
        let mut restarted = Vec::new();
        for endpoint in endpoints {
            let previous = self.endpoints.insert(endpoint.server, endpoint.clone());
            if previous.is_some_and(|previous| previous.started_at != endpoint.started_at) {
                restarted.push(endpoint.server);
            }
        }
        for server in endpoints.iter().map(|endpoint| endpoint.server) {
            self.update_draining(now, server);
        }
        restarted
    }

    /// Sets or clears the time since which a server has been draining or removed, according to its entry.
    fn update_draining(&mut self, now: Time, server: ServerId) {
        if self.endpoints[&server].is_serving() {
            self.draining_since.remove(&server);
        } else {
            self.draining_since.entry(server).or_insert(now);
        }
    }

    /// Returns whether a server has been draining or removed for longer than `grace`.
    pub fn is_draining_beyond(&self, server: ServerId, grace: Span, now: Time) -> bool {
        self.draining_since.get(&server).is_some_and(|since| now > *since + grace)
    }

    /// Returns the latest entry of a server, or `None` if the server has never been listed.
    pub fn get(&self, server: ServerId) -> Option<&Endpoint> {
        self.endpoints.get(&server)
    }

    /// Returns all endpoints, including those of servers that are draining or removed.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }
}
