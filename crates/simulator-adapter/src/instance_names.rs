//! The names by which the simulator refers to what a balancer knows by number.

use crate::request_table::RequestTable;
use balancer_settings::ServerNames;

/// The simulator's names of what one balancer knows by number.
#[derive(Debug, Default)]
pub struct InstanceNames {
    /// The servers.
    pub servers: ServerNames,
    /// The requests.
    pub requests: RequestTable,
}
