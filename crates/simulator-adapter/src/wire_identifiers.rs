//! The identifiers that the simulator uses for the servers and requests of one balancer.

use crate::request_id_map::RequestIdMap;
use balancer_settings::ServerNames;

/// The mappings between the wire identifiers and the balancer's ids of servers and requests.
#[derive(Debug, Default)]
pub struct WireIdentifiers {
    /// The names and ids of the servers.
    pub servers: ServerNames,
    /// The wire ids of the requests and their ids in the balancer.
    pub requests: RequestIdMap,
}
