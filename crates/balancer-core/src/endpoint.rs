//! The entries of the endpoint list, and changes of the list.

use crate::ids::{CellId, MachineKindId, ServerId, ZoneId};
use crate::time::Time;

/// Whether a server accepts requests, according to the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum EndpointStatus {
    /// The server accepts requests.
    Serving,
    /// The server completes the requests that it already has and must not be sent new ones.
    Draining,
    /// The server is no longer in the endpoint list.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// The id of the server.
    pub server: ServerId,
    /// The zone of the server.
    pub zone: ZoneId,
    /// The machine kind of the server.
    pub machine_kind: MachineKindId,
    /// The cell of the server.
    pub cell: CellId,
    /// Whether the server accepts requests.
    pub status: EndpointStatus,
    /// The weight of the server. The setting
    /// [`Settings::endpoint_weights`](crate::Settings::endpoint_weights) determines its meaning.
    pub weight: f64,
    /// When the server's process last started, if that was recently. `None` means that the server has warmed
    /// up.
    pub started_at: Option<Time>,
}

impl Endpoint {
    /// Creates the entry of a serving server that has warmed up, with weight 1 and in zone 0, machine kind 0
    /// and cell 0.
    pub fn serving(server: ServerId) -> Self {
        Endpoint {
            server,
            zone: ZoneId(0),
            machine_kind: MachineKindId(0),
            cell: CellId(0),
            status: EndpointStatus::Serving,
            weight: 1.0,
            started_at: None,
        }
    }

    /// Returns whether the server accepts requests.
    pub fn is_serving(&self) -> bool {
        self.status == EndpointStatus::Serving
    }
}

/// A change of the endpoint list, or the failure to receive changes.
#[derive(Debug, Clone, PartialEq)]
pub enum EndpointUpdate {
    /// The entries that have changed.
    Changes(Vec<Endpoint>),
    /// The complete list. A server that is missing from the list has been removed.
    Complete(Vec<Endpoint>),
    /// The complete list, as the host cached it before a restart. The list may be stale.
    Cached(Vec<Endpoint>),
    /// A poll failed or the watch broke. The balancer keeps the list that it has.
    Failed,
}
