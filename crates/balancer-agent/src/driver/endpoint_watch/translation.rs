//! Translating the endpoint list into the balancer's terms.

use super::server_list::ServerList;
use super::server_names::RetainedServerNames;
use crate::endpoint_list::{EndpointEntry, EndpointHealth, EndpointList};
use balancer_core::{CellId, Endpoint, EndpointStatus, MachineKindId, ServerId, Time, ZoneId};
use balancer_settings::{hash_name, HostSettings};

/// Translates a list. Servers that it names for the first time are given numbers.
pub fn translate(
    list: &EndpointList,
    names: &mut RetainedServerNames,
    settings: &HostSettings,
) -> ServerList {
    let endpoint_of = |entry: &EndpointEntry| endpoint(entry, names.number(&entry.name), settings);
    let endpoints: Vec<Endpoint> = list.entries.iter().map(endpoint_of).collect();
    let servers = endpoints.iter().map(|endpoint| endpoint.server);
    let all_servers = list.is_complete.then(|| servers.collect());
    ServerList { endpoints, all_servers }
}

fn endpoint(entry: &EndpointEntry, server: ServerId, settings: &HostSettings) -> Endpoint {
    let is_start_time_known = entry.started_at_ms > 0.0;
    Endpoint {
        server,
        zone: ZoneId(index_of(&settings.zone_names, &entry.zone)),
        machine_kind: MachineKindId(index_of(&settings.machine_kind_names, &entry.machine_kind)),
        cell: CellId(entry.cell),
        status: match entry.health {
            EndpointHealth::Up => EndpointStatus::Serving,
            EndpointHealth::Draining => EndpointStatus::Draining,
            EndpointHealth::Removed => EndpointStatus::Removed,
        },
        weight: entry.weight,
        started_at: is_start_time_known.then(|| Time::from_millis_f64(entry.started_at_ms)),
    }
}

/// A name's index in the settings. A name that the settings lack is given a number past their indices by its
/// hash, so that two unknown zones are not taken for one.
fn index_of(names: &[String], name: &str) -> u32 {
    let known = names.iter().position(|known| known == name);
    known.unwrap_or_else(|| names.len() + (hash_name(name) as u32 >> 1) as usize) as u32
}
