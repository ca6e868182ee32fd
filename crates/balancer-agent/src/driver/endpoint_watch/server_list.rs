//! The endpoint list in the balancer's types.

use balancer_core::{Endpoint, ServerId};
use std::collections::HashSet;

/// A complete endpoint list, or the entries that have changed, with ids in place of names.
pub struct ServerList {
    /// One endpoint for each entry of the list, in the order of the list.
    pub endpoints: Vec<Endpoint>,
    /// The servers in a complete list; `None` if the list contains only changes.
    pub all_servers: Option<HashSet<ServerId>>,
}
