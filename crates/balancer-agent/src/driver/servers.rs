//! The servers that the endpoint list has named, and the list in the balancer's terms.

use crate::endpoint_list::{EndpointEntry, EndpointHealth, EndpointList};
use balancer_core::{CellId, Endpoint, EndpointStatus, MachineKindId, ServerId, Time, ZoneId};
use balancer_settings::{hash_name, HostSettings, ServerNames};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// A server's name and number are kept this long after it has left: longer than the balancer remembers the
/// number, so that a name that shares it by chance is not taken for the one that left.
const NAME_RETENTION: Duration = Duration::from_secs(30);

/// Names and numbers of servers, and which of them are up.
#[derive(Default)]
pub struct ServerDirectory {
    names: ServerNames,
    /// Servers that have left, and when.
    removed: HashMap<ServerId, Instant>,
}

impl ServerDirectory {
    /// Takes in a list and returns it in the balancer's terms, an endpoint for each entry.
    pub fn update(&mut self, list: &EndpointList, settings: &HostSettings) -> Vec<Endpoint> {
        let endpoints: Vec<Endpoint> =
            list.entries.iter().map(|entry| self.endpoint(entry, settings)).collect();
        self.forget_removed(list.is_complete, &endpoints);
        endpoints
    }

    fn endpoint(&mut self, entry: &EndpointEntry, settings: &HostSettings) -> Endpoint {
        let is_lately_started = entry.started_at_ms > 0.0;
        Endpoint {
            server: self.number(&entry.name),
            zone: ZoneId(index_of(&settings.zone_names, &entry.zone)),
            machine_kind: MachineKindId(index_of(&settings.machine_kind_names, &entry.machine_kind)),
            cell: CellId(entry.cell),
            status: match entry.health {
                EndpointHealth::Up => EndpointStatus::Serving,
                EndpointHealth::Draining => EndpointStatus::Draining,
                EndpointHealth::Removed => EndpointStatus::Removed,
            },
            weight: entry.weight,
            started_at: is_lately_started.then(|| Time::from_ms(entry.started_at_ms)),
        }
    }

    fn number(&mut self, name: &str) -> ServerId {
        if let Some(server) = self.names.find(name) {
            return server;
        }
        let server = self.names.intern(&Rc::from(name));
        eprintln!("server {} is {name}", server.0);
        server
    }

    /// Forgets the names of servers that left long ago.
    fn forget_removed(&mut self, is_complete: bool, endpoints: &[Endpoint]) {
        let now = Instant::now();
        for endpoint in endpoints {
            self.removed.remove(&endpoint.server);
        }
        if is_complete {
            let named: HashSet<ServerId> = endpoints.iter().map(|endpoint| endpoint.server).collect();
            for server in self.names.servers().filter(|server| !named.contains(server)) {
                self.removed.entry(server).or_insert(now);
            }
        }
        let removed = endpoints.iter().filter(|endpoint| endpoint.status == EndpointStatus::Removed);
        self.removed.extend(removed.map(|endpoint| (endpoint.server, now)));
        let names = &mut self.names;
        self.removed.retain(|server, removed_at| {
            let is_kept = now.duration_since(*removed_at) < NAME_RETENTION;
            if !is_kept {
                names.forget(*server);
            }
            is_kept
        });
    }
}

/// A name's index in the settings; a name that they lack gets a number of its own past them, so that no two
/// zones pass for one.
fn index_of(names: &[String], name: &str) -> u32 {
    let known = names.iter().position(|known| known == name);
    known.unwrap_or_else(|| names.len() + (hash_name(name) as u32 >> 1) as usize) as u32
}
