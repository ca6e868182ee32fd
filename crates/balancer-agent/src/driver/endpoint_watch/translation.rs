//! The translation of the endpoint list into the balancer's types.

use super::server_list::ServerList;
use super::server_names::RetainedServerNames;
use crate::endpoint_list::{EndpointEntry, EndpointList, EntryStatus};
use balancer_core::{CellId, Endpoint, EndpointStatus, MachineKindId, ServerId, Time, ZoneId};
use balancer_settings::{hash_name, HostSettings};

/// Translates a list. Assigns an id to each server whose name is unknown.
pub fn translate(
    list: &EndpointList,
    names: &mut RetainedServerNames,
    settings: &HostSettings,
) -> ServerList {
    let endpoint_of = |entry: &EndpointEntry| translate_entry(entry, names.intern(&entry.name), settings);
    let endpoints: Vec<Endpoint> = list.entries.iter().map(endpoint_of).collect();
    let servers = endpoints.iter().map(|endpoint| endpoint.server);
    let all_servers = list.is_complete.then(|| servers.collect());
    ServerList { endpoints, all_servers }
}

/// Translates the entry of a server. A start time of 0 becomes `None`: the server started long ago, or the
/// entry states no time.
fn translate_entry(entry: &EndpointEntry, server: ServerId, settings: &HostSettings) -> Endpoint {
    let is_start_time_known = entry.started_at_ms > 0.0;
    Endpoint {
        server,
        zone: ZoneId(index_of(&settings.zone_names, &entry.zone)),
        machine_kind: MachineKindId(index_of(&settings.machine_kind_names, &entry.machine_kind)),
        cell: CellId(entry.cell),
        status: match entry.status {
            EntryStatus::Serving => EndpointStatus::Serving,
            EntryStatus::Draining => EndpointStatus::Draining,
            EntryStatus::Removed => EndpointStatus::Removed,
        },
        weight: entry.weight,
        started_at: is_start_time_known.then(|| Time::from_millis_f64(entry.started_at_ms)),
    }
}

/// Returns the index of a name in `names`. For an unknown name, derives an index from the hash of the name.
///
/// The index of an unknown name lies above those of the known names. Servers in two unknown zones, for
/// example, are therefore not taken for servers in the same zone.
fn index_of(names: &[String], name: &str) -> u32 {
    let index = names.iter().position(|known| known == name);
    index.unwrap_or_else(|| names.len() + (hash_name(name) as u32 >> 1) as usize) as u32
}
