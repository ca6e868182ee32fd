//! Servers as the endpoint list describes them.

use crate::ids::{CellId, MachineKindId, ServerId, ZoneId};
use crate::time::Time;

/// Whether a server takes requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum EndpointStatus {
    /// It takes requests.
    Serving,
    /// It finishes what it has; send it nothing new.
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
    /// Its size among the others; see [`EndpointWeights`](crate::EndpointWeights).
    pub weight: f64,
    /// When its process last started, if that was lately.
    pub started_at: Option<Time>,
}

impl Endpoint {
    /// A serving server that started long ago, in zone, machine kind and cell 0.
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

/// A watch event: news of the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub enum EndpointUpdate {
    /// Only the entries that changed.
    Changes(Vec<Endpoint>),
    /// The complete list: a server that it leaves out has been removed.
    Complete(Vec<Endpoint>),
    /// The complete list as it was cached before a restart; may be stale.
    Cached(Vec<Endpoint>),
    /// A call failed or the watch broke; what was known still stands.
    Failed,
}
