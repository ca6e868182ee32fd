//! The watch of the endpoint list, and the translation of the list into the balancer's types.

mod server_list;
mod server_names;
mod translation;

pub use server_names::RetainedServerNames;

use crate::discovery::{Discovery, WatchHandler};
use crate::endpoint_list::EndpointList;
use crate::upstream::ConnectionPool;
use balancer_core::Endpoint;
use balancer_settings::HostSettings;
use std::net::SocketAddr;
use std::rc::Rc;
use translation::translate;

/// The watch of the endpoint list, and the names and ids of the servers in the list.
pub struct EndpointWatch {
    discovery: Discovery,
    names: RetainedServerNames,
}

impl EndpointWatch {
    /// Creates a watch that has not been started. It will begin with the changes since the cached list.
    pub fn new(discovery_address: SocketAddr, cached_version: u64) -> Self {
        let discovery = Discovery::new(discovery_address, cached_version);
        EndpointWatch { discovery, names: RetainedServerNames::default() }
    }

    /// Starts the watch, or continues it after a failure.
    pub fn start(&mut self, handler: Rc<impl WatchHandler + 'static>) {
        self.discovery.watch(handler);
    }

    /// Changes the address of discovery and starts a watch there, which begins with the complete list. Has no
    /// effect on a watch that has not failed if the address is the present one.
    pub fn set_discovery_address(&mut self, address: SocketAddr, handler: Rc<impl WatchHandler + 'static>) {
        self.discovery.set_address(address);
        self.discovery.watch(handler);
    }

    /// Returns the names and ids of the servers.
    pub fn server_names(&self) -> &RetainedServerNames {
        &self.names
    }

    /// Applies a received list to the server names and the connection pool, and returns the entries of the
    /// list in the balancer's type.
    pub fn update_servers(
        &mut self,
        list: &EndpointList,
        settings: &HostSettings,
        pool: &ConnectionPool,
    ) -> Vec<Endpoint> {
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
