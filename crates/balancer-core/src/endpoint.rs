//! Servers as the endpoint list describes them.

use crate::ids::{CellId, MachineKindId, ServerId, ZoneId};
use crate::time::Time;

/// Whether a server takes requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum EndpointStatus {
    /// It takes requests.
    Serving,
    /// It finishes its requests and must not be sent new ones.
    Draining,
    /// It has left the list.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// The server.
    pub server: ServerId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its kind of machine.
    pub machine_kind: MachineKindId,
    /// Its cell.
    pub cell: CellId,
    /// Whether it takes requests.
    pub status: EndpointStatus,
    /// Its size relative to the others; see [`EndpointWeights`](crate::EndpointWeights).
    pub weight: f64,
    /// When its process last started, if that was recently.
    pub started_at: Option<Time>,
}

impl Endpoint {
    /// A warm serving server in zone, machine kind and cell 0.
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

    /// Whether it takes requests.
    pub fn is_serving(&self) -> bool {
        self.status == EndpointStatus::Serving
    }
}

/// A watch event: a change of the endpoint list, or the failure of the watch.
#[derive(Debug, Clone, PartialEq)]
pub enum EndpointUpdate {
    /// Only the entries that changed.
    Changes(Vec<Endpoint>),
    /// The complete list: a server that it leaves out has been removed.
    Complete(Vec<Endpoint>),
    /// The complete list as it was cached before a restart; it may be stale.
    Cached(Vec<Endpoint>),
    /// A call failed or the watch broke; what was known is kept.
    Failed,
}
