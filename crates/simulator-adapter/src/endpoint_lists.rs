//! The endpoint lists of the process, which its instances share and refer to by number.

use crate::wire::{WireEndpoint, WireEndpointList, WireEndpointStatus};
use balancer_core::{CellId, Endpoint, EndpointStatus, MachineKindId, ServerId, Time, ZoneId};
use std::collections::BTreeMap;
use std::rc::Rc;

/// The weight of a server whose entry has none.
const DEFAULT_WEIGHT: f64 = 1.0;

/// The endpoint lists, by their numbers.
#[derive(Debug, Default)]
pub struct EndpointLists {
    lists: BTreeMap<u32, Vec<ListedEndpoint>>,
}

impl EndpointLists {
    /// Stores a list under its number, in place of the list that had the number before.
    pub fn insert(&mut self, list: WireEndpointList<'_>) {
        let endpoints = list.endpoints.into_iter().map(ListedEndpoint::from).collect();
        self.lists.insert(list.list_number, endpoints);
    }

    /// The list with this number.
    pub fn get(&self, list_number: u32) -> Option<&[ListedEndpoint]> {
        self.lists.get(&list_number).map(Vec::as_slice)
    }
}

/// An entry of a list. It has no [`ServerId`], because each instance numbers the servers itself.
#[derive(Debug)]
pub struct ListedEndpoint {
    /// The server's name, whose text the instances share.
    pub name: Rc<str>,
    zone: ZoneId,
    machine_kind: MachineKindId,
    cell: CellId,
    status: EndpointStatus,
    weight: f64,
    started_at: Option<Time>,
}

impl ListedEndpoint {
    /// The endpoint for an instance in which the server has this number.
    pub fn to_endpoint(&self, server: ServerId) -> Endpoint {
        Endpoint {
            server,
            zone: self.zone,
            machine_kind: self.machine_kind,
            cell: self.cell,
            status: self.status,
            weight: self.weight,
            started_at: self.started_at,
        }
    }
}

impl From<WireEndpoint<'_>> for ListedEndpoint {
    fn from(wire: WireEndpoint<'_>) -> Self {
        ListedEndpoint {
            name: Rc::from(&*wire.server),
            zone: ZoneId(wire.zone),
            machine_kind: MachineKindId(wire.machine_kind),
            cell: CellId(wire.cell),
            status: EndpointStatus::from(wire.status),
            weight: wire.weight.unwrap_or(DEFAULT_WEIGHT),
            started_at: wire.started_at_ms.filter(|ms| *ms > 0.0).map(Time::from_millis_f64),
        }
    }
}

impl From<WireEndpointStatus> for EndpointStatus {
    fn from(wire: WireEndpointStatus) -> Self {
        match wire {
            WireEndpointStatus::Serving => EndpointStatus::Serving,
            WireEndpointStatus::Draining => EndpointStatus::Draining,
            WireEndpointStatus::Removed => EndpointStatus::Removed,
        }
    }
}
