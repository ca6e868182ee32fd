//! The endpoint lists that all instances of the process share.

use crate::wire::{WireEndpoint, WireEndpointList, WireEndpointStatus};
use balancer_core::{CellId, Endpoint, EndpointStatus, MachineKindId, ServerId, Time, ZoneId};
use std::collections::BTreeMap;
use std::rc::Rc;

/// The weight of a server if its entry in the endpoint list does not contain one.
const DEFAULT_WEIGHT: f64 = 1.0;

/// The endpoint lists, by the numbers that the simulator gives them.
#[derive(Debug, Default)]
pub struct EndpointLists {
    lists: BTreeMap<u32, Vec<ListedEndpoint>>,
}

impl EndpointLists {
    /// Stores a list, which replaces an earlier list with the same number.
    pub fn insert(&mut self, list: WireEndpointList<'_>) {
        let endpoints = list.endpoints.into_iter().map(ListedEndpoint::from).collect();
        self.lists.insert(list.list_number, endpoints);
    }

    /// Returns the list with this number, or `None` if there is none.
    pub fn get(&self, list_number: u32) -> Option<&[ListedEndpoint]> {
        self.lists.get(&list_number).map(Vec::as_slice)
    }
}

/// An entry of an endpoint list. The entry has no [`ServerId`], because each instance assigns the ids of its
/// servers itself.
#[derive(Debug)]
pub struct ListedEndpoint {
    /// The name of the server. It is stored once for all instances.
    pub name: Rc<str>,
    zone: ZoneId,
    machine_kind: MachineKindId,
    cell: CellId,
    status: EndpointStatus,
    weight: f64,
    started_at: Option<Time>,
}

impl ListedEndpoint {
    /// Converts the entry to the balancer's type, for an instance in which the server has this id.
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
