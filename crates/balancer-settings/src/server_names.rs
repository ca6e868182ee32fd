//! Numbers for the names of servers.

use crate::name_hash::hash_name;
use balancer_core::ServerId;
use std::collections::HashMap;
use std::rc::Rc;

/// The servers that one balancer knows by name. A server's number is a hash of its name, so that balancers
/// mean the same server by it in their gossip.
#[derive(Debug, Default)]
pub struct ServerNames {
    ids: HashMap<Rc<str>, ServerId>,
    names: HashMap<ServerId, Rc<str>>,
}

impl ServerNames {
    /// A table without servers.
    pub fn new() -> Self {
        ServerNames::default()
    }

    /// The number of the server with this name, if it has one.
    pub fn find(&self, name: &str) -> Option<ServerId> {
        self.ids.get(name).copied()
    }

    /// The number of the server with this name; a new name is given one. If its hash is the number of another
    /// name, it is given the next free number.
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

    /// The numbers of all servers, in no certain order.
    pub fn servers(&self) -> impl Iterator<Item = ServerId> + '_ {
        self.names.keys().copied()
    }

    /// Forgets a server; its number is free for another name.
    pub fn forget(&mut self, server: ServerId) {
        if let Some(name) = self.names.remove(&server) {
            self.ids.remove(&name);
        }
    }

    fn free_id(&self, preferred: u32) -> ServerId {
        let mut id = preferred;
        while self.names.contains_key(&ServerId(id)) {
            id = id.wrapping_add(1);
        }
        ServerId(id)
    }
}
