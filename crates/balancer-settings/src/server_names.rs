//! The mapping between the names of servers and their ids.

use crate::name_hash::hash_name;
use balancer_core::ServerId;
use std::collections::HashMap;
use std::rc::Rc;

/// A two-way map between the names of a balancer's servers and their ids.
///
/// The id of a server is derived from the hash of its name, so that ids in the gossip of other balancers
/// refer to the same servers.
#[derive(Debug, Default)]
pub struct ServerNames {
    ids: HashMap<Rc<str>, ServerId>,
    names: HashMap<ServerId, Rc<str>>,
}

impl ServerNames {
    /// Creates an empty map.
    pub fn new() -> Self {
        ServerNames::default()
    }

    /// Returns the id of the server with this name, or `None` if the server is unknown.
    pub fn find(&self, name: &str) -> Option<ServerId> {
        self.ids.get(name).copied()
    }

    /// Returns the id of the server with this name, and adds the server if it is unknown.
    ///
    /// The id of a new server is the low 32 bits of the hash of its name, or the next free id if another
    /// server already has that id.
    pub fn intern(&mut self, name: &Rc<str>) -> ServerId {
        if let Some(server) = self.find(name) {
            return server;
        }
        let server = self.find_free_id(hash_name(name) as u32);
        self.ids.insert(Rc::clone(name), server);
        self.names.insert(server, Rc::clone(name));
        server
    }

    /// Returns the name of the server with this id, or `None` if the server is unknown.
    pub fn name(&self, server: ServerId) -> Option<&Rc<str>> {
        self.names.get(&server)
    }

    /// Returns the ids of all servers, in no particular order.
    pub fn servers(&self) -> impl Iterator<Item = ServerId> + '_ {
        self.names.keys().copied()
    }

    /// Removes a server. Another server can then get its id.
    pub fn forget(&mut self, server: ServerId) {
        if let Some(name) = self.names.remove(&server) {
            self.ids.remove(&name);
        }
    }

    /// Returns the first free id, starting at `preferred`. After the highest id, the search continues at 0.
    fn find_free_id(&self, preferred: u32) -> ServerId {
        let mut id = preferred;
        while self.names.contains_key(&ServerId(id)) {
            id = id.wrapping_add(1);
        }
        ServerId(id)
    }
}
