//! Numbers for the names of servers.

use super::server_list::ServerList;
use balancer_core::{EndpointStatus, ServerId};
use balancer_settings::ServerNames;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How long a server's name keeps its number after the server was removed. It is longer than the balancer
/// remembers the number, so that a new server whose name hashes to the same number is not mistaken for the
/// removed one.
const NAME_RETENTION: Duration = Duration::from_secs(30);

/// The names and numbers of the servers that the endpoint list names, or named until a short time ago.
#[derive(Default)]
pub struct RetainedServerNames {
    names: ServerNames,
    /// When each server that is no longer listed was removed.
    removed_at: HashMap<ServerId, Instant>,
}

impl RetainedServerNames {
    /// The number of a server. The first use of a name is logged with its number.
    pub fn number(&mut self, name: &str) -> ServerId {
        if let Some(server) = self.names.find(name) {
            return server;
        }
        let server = self.names.intern(&Rc::from(name));
        eprintln!("server {} is {name}", server.0);
        server
    }

    /// The name of a server; `None` if it was forgotten.
    pub fn name(&self, server: ServerId) -> Option<&str> {
        self.names.name(server).map(AsRef::as_ref)
    }

    /// Records which servers a new list names and which it removes, and forgets the names of servers that were
    /// removed longer ago than [`NAME_RETENTION`].
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
