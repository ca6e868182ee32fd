//! What the rule checker knows about the servers.

use balancer_core::{Endpoint, EndpointUpdate, ServerId, Span, Time};
use std::collections::{BTreeMap, BTreeSet};

/// Every endpoint that was ever listed, and the servers that are draining or removed.
#[derive(Default)]
pub struct ObservedFleet {
    endpoints: BTreeMap<ServerId, Endpoint>,
    draining_since: BTreeMap<ServerId, Time>,
}

impl ObservedFleet {
    /// Applies an update of the endpoint list; returns the servers that have restarted.
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

    fn mark_unlisted_as_draining(&mut self, now: Time, listed: &[Endpoint]) {
        let listed: BTreeSet<ServerId> = listed.iter().map(|endpoint| endpoint.server).collect();
        for server in self.endpoints.keys().filter(|server| !listed.contains(server)) {
            self.draining_since.entry(*server).or_insert(now);
        }
    }

    /// Inserts endpoints, of which the last for a server counts; returns the servers that have restarted.
    fn insert_all(&mut self, now: Time, endpoints: &[Endpoint]) -> Vec<ServerId> {
        let mut restarted = Vec::new();
        for endpoint in endpoints {
            let before = self.endpoints.insert(endpoint.server, endpoint.clone());
            if before.is_some_and(|before| before.started_at != endpoint.started_at) {
                restarted.push(endpoint.server);
            }
        }
        for server in endpoints.iter().map(|endpoint| endpoint.server) {
            self.refresh_draining(now, server);
        }
        restarted
    }

    fn refresh_draining(&mut self, now: Time, server: ServerId) {
        if self.endpoints[&server].is_serving() {
            self.draining_since.remove(&server);
        } else {
            self.draining_since.entry(server).or_insert(now);
        }
    }

    /// Whether a server has been draining or removed for more than `grace`.
    pub fn has_drained_for(&self, server: ServerId, grace: Span, now: Time) -> bool {
        self.draining_since.get(&server).is_some_and(|since| now > *since + grace)
    }

    pub fn get(&self, server: ServerId) -> Option<&Endpoint> {
        self.endpoints.get(&server)
    }

    /// All endpoints, including those of servers that are draining or removed.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }
}
