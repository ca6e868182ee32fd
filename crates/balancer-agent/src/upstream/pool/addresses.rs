//! Which server each address belongs to.

use balancer_core::ServerId;
use std::collections::HashMap;
use std::net::SocketAddr;

/// The server that the endpoint list last named at each address.
#[derive(Default)]
pub struct ServersByAddress {
    servers: HashMap<SocketAddr, ServerId>,
}

impl ServersByAddress {
    /// Assigns an address to a server, and returns the other server that had it before, if any.
    pub fn assign(&mut self, address: SocketAddr, server: ServerId) -> Option<ServerId> {
        let previous = self.servers.insert(address, server);
        previous.filter(|previous| *previous != server)
    }

    /// Removes an address that a server no longer uses, unless another server has it by now.
    pub fn unassign(&mut self, address: SocketAddr, server: ServerId) {
        if self.servers.get(&address) == Some(&server) {
            self.servers.remove(&address);
        }
    }
}
