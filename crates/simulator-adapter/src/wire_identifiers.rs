//! What the simulator calls the servers and requests that one balancer knows by number.

use crate::request_id_map::RequestIdMap;
use balancer_settings::ServerNames;

/// The wire's identifiers of one balancer's servers and requests.
#[derive(Debug, Default)]
pub struct WireIdentifiers {
    /// The names of the servers.
    pub servers: ServerNames,
    /// The ids of the requests.
    pub requests: RequestIdMap,
}
