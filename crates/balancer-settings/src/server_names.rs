//! Numbers for the names of servers.

use crate::name_hash::hash_name;
use balancer_core::ServerId;
use std::collections::HashMap;
use std::rc::Rc;

/// Maps the names of one balancer's servers to their numbers, and back. A server's number is derived from a
/// hash of its name, so that the numbers in the gossip of other balancers refer to the same servers.
#[derive(Debug, Default)]
pub struct ServerNames {
    ids: HashMap<Rc<str>, ServerId>,
    names: HashMap<ServerId, Rc<str>>,
}

impl ServerNames {
    /// A map without servers.
    pub fn new() -> Self {
        ServerNames::default()
    }

    /// The number of the server with this name, if the server is known.
    pub fn find(&self, name: &str) -> Option<ServerId> {
        self.ids.get(name).copied()
    }

    /// The number of the server with this name. A new server gets the low half of the hash of its name, or
    /// the next free number if another server has that one.
    pub fn intern(&mut self, name: &Rc<str>) -> ServerId {
        if let Some(server) = self.find(name) {
            return server;
        }
        let server = self.free_id(hash_name(name) as u32);
        self.ids.insert(Rc::clone(name), server);
        self.names.insert(server, Rc::clone(name));
        server
    }

    /// The name of the server with this number.
    pub fn name(&self, server: ServerId) -> Option<&Rc<str>> {
        self.names.get(&server)
    }

    /// The numbers of all servers, in no particular order.
    pub fn servers(&self) -> impl Iterator<Item = ServerId> + '_ {
        self.names.keys().copied()
    }

    /// Removes a server, whose number becomes free for another one.
    pub fn forget(&mut self, server: ServerId) {
        if let Some(name) = self.names.remove(&server) {
            self.ids.remove(&name);
        }
    }

    /// The first free number from `preferred` on.
    fn free_id(&self, preferred: u32) -> ServerId {
        let mut id = preferred;
        while self.names.contains_key(&ServerId(id)) {
            id = id.wrapping_add(1);
        }
        ServerId(id)
    }
}
