//! Watching the endpoint list, and translating it into the balancer's terms.

mod server_list;
mod server_names;
mod translation;

pub use server_names::RetainedServerNames;

use crate::discovery::{Discovery, WatchListener};
use crate::endpoint_list::EndpointList;
use crate::upstream::ConnectionPool;
use balancer_core::Endpoint;
use balancer_settings::HostSettings;
use std::net::SocketAddr;
use std::rc::Rc;
use translation::translate;

/// The watch of the endpoint list, and the numbers of the servers that it names.
pub struct EndpointWatch {
    discovery: Discovery,
    names: RetainedServerNames,
}

impl EndpointWatch {
    /// A watch that has not begun.
    pub fn new(discovery_address: SocketAddr) -> Self {
        EndpointWatch { discovery: Discovery::new(discovery_address), names: RetainedServerNames::default() }
    }

    /// Begins to watch for changes of the last list, or for a complete list if there has been none.
    pub fn start(&mut self, listener: Rc<impl WatchListener + 'static>) {
        self.discovery.watch(listener);
    }

    /// Begins to watch at another address, from a complete list on.
    pub fn relocate(&mut self, address: SocketAddr, listener: Rc<impl WatchListener + 'static>) {
        self.discovery.relocate(address);
        self.discovery.watch(listener);
    }

    /// The names and numbers of the servers.
    pub fn server_names(&self) -> &RetainedServerNames {
        &self.names
    }

    /// Updates where the servers of a list are reached, and returns the list in the balancer's terms.
    pub fn update_servers(
        &mut self,
        list: &EndpointList,
        settings: &HostSettings,
        pool: &ConnectionPool,
    ) -> Vec<Endpoint> {
        self.discovery.record_version(list.version);
        let translated = translate(list, &mut self.names, settings);
        self.names.record_list(&translated);
        for (endpoint, entry) in translated.endpoints.iter().zip(&list.entries) {
            pool.update_server(endpoint.server, entry);
        }
        if let Some(all_servers) = &translated.all_servers {
            pool.remove_unlisted_servers(all_servers);
        }
        translated.endpoints
    }
}
