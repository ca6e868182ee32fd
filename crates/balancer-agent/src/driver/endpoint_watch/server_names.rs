//! The names and ids of the servers in the endpoint list and of recently removed servers.

use super::server_list::ServerList;
use crate::logging::log_line;
use balancer_core::{EndpointStatus, ServerId};
use balancer_settings::ServerNames;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Minimum time for which the id of a removed server stays reserved for its name. This is longer than the
/// minimum time for which the balancer keeps the state of a removed server. Otherwise, a new server whose
/// name hashes to the same id could be taken for the removed server.
const NAME_RETENTION: Duration = Duration::from_secs(30);

/// A mapping between the names and ids of servers. It contains the servers in the endpoint list and the
/// recently removed servers.
#[derive(Default)]
pub struct RetainedServerNames {
    names: ServerNames,
    /// The time at which each server that is no longer in the list was removed.
    removed_at: HashMap<ServerId, Instant>,
}

impl RetainedServerNames {
    /// Returns the id of the server with this name. If the name is unknown, assigns an id to it and logs the
    /// id.
    pub fn intern(&mut self, name: &str) -> ServerId {
        if let Some(server) = self.names.find(name) {
            return server;
        }
        let server = self.names.intern(&Rc::from(name));
        log_line!("server {} is {name}", server.0);
        server
    }

    /// Returns the name of the server with this id, or `None` if the id is unknown or its name has been
    /// forgotten.
    pub fn name(&self, server: ServerId) -> Option<&str> {
        self.names.name(server).map(AsRef::as_ref)
    }

    /// Records which servers a new list contains and which servers it removes, and forgets the names of
    /// servers that were removed at least [`NAME_RETENTION`] ago.
    pub fn record_list(&mut self, list: &ServerList) {
        let now = Instant::now();
        for endpoint in &list.endpoints {
            self.removed_at.remove(&endpoint.server);
        }
        if let Some(listed) = &list.all_servers {
            for server in self.names.servers().filter(|server| !listed.contains(server)) {
                self.removed_at.entry(server).or_insert(now);
            }
        }
        let removed = list.endpoints.iter().filter(|endpoint| endpoint.status == EndpointStatus::Removed);
        self.removed_at.extend(removed.map(|endpoint| (endpoint.server, now)));
        self.forget_removed(now);
    }

    fn forget_removed(&mut self, now: Instant) {
        let names = &mut self.names;
        self.removed_at.retain(|server, removed_at| {
            let is_retained = now.duration_since(*removed_at) < NAME_RETENTION;
            if !is_retained {
                names.forget(*server);
            }
            is_retained
        });
    }
}

#[cfg(test)]
mod tests;
