//! The mapping of addresses to servers.

use balancer_core::ServerId;
use std::collections::HashMap;
use std::net::SocketAddr;

/// A mapping of each address to the server that the endpoint list last stated for it.
#[derive(Default)]
pub struct ServersByAddress {
    servers: HashMap<SocketAddr, ServerId>,
}

impl ServersByAddress {
    /// Assigns an address to a server. If the address was assigned to another server, returns that server.
    pub fn assign(&mut self, address: SocketAddr, server: ServerId) -> Option<ServerId> {
        let previous = self.servers.insert(address, server);
        previous.filter(|previous| *previous != server)
    }

    /// Removes an address that a server no longer uses, unless the address has been assigned to another
    /// server.
    pub fn unassign(&mut self, address: SocketAddr, server: ServerId) {
        if self.servers.get(&address) == Some(&server) {
            self.servers.remove(&address);
        }
    }
}
