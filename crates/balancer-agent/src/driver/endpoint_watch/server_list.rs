//! The endpoint list in the balancer's terms.

use balancer_core::{Endpoint, ServerId};
use std::collections::HashSet;

/// A complete list, or the changes of one, with numbers in place of names.
pub struct ServerList {
    /// An endpoint for each entry of the list, in its order.
    pub endpoints: Vec<Endpoint>,
    /// The servers that a complete list names; `None` if the list holds only changes.
    pub all_servers: Option<HashSet<ServerId>>,
}
