//! The watch of the endpoint list at the discovery service.
//!
//! A watch is a series of calls to discovery, each of which waits for changes of the list. The balancer
//! decides when a watch starts, and when it continues after a failure
//! ([`balancer_core::Action::WatchEndpoints`]). This module makes the calls of the watch.

mod call;
mod connector;
mod list_text;
mod open_calls;
mod watch;
mod watch_event;

pub use watch_event::{WatchEvent, WatchHandler};

use connector::{Connector, TcpConnector};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use watch::Watch;

/// The address of a discovery service, and at most one watch of its endpoint list.
pub struct Discovery<C = TcpConnector> {
    connector: Rc<C>,
    address: SocketAddr,
    /// The version of the list that a watch begins with, or `None` if a watch begins with the complete list.
    /// Each discovery service counts its own versions.
    first_version: Option<u64>,
    watch: Option<RunningWatch>,
}

/// The task of a watch. Dropping the value ends the watch and closes its connections.
struct RunningWatch {
    task: JoinHandle<()>,
    reopen: Rc<Notify>,
}

impl Drop for RunningWatch {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Discovery {
    /// Creates a `Discovery` for the service at `address`, without a watch. The watch will begin with the
    /// changes after `cached_version`.
    pub fn new(address: SocketAddr, cached_version: u64) -> Self {
        Discovery::with_connector(TcpConnector, address, cached_version)
    }
}

impl<C: Connector> Discovery<C> {
    /// Creates a `Discovery` like [`Discovery::new`], whose connections `connector` will open.
    pub fn with_connector(connector: C, address: SocketAddr, cached_version: u64) -> Self {
        Discovery { connector: Rc::new(connector), address, first_version: Some(cached_version), watch: None }
    }

    /// Changes the address of the service. Ends the watch at the old address and closes its connections. The
    /// watch at the new address will begin with the complete list.
    ///
    /// Has no effect if the address is the present one: its open calls may be answered soon.
    pub fn set_address(&mut self, address: SocketAddr) {
        if address != self.address {
            self.address = address;
            self.first_version = None;
            self.watch = None;
        }
    }

    /// Starts the watch, or continues it after a failure. Has no effect on a watch that has not failed. A
    /// watch whose task has panicked is started anew.
    pub fn watch(&mut self, handler: Rc<impl WatchHandler + 'static>) {
        if let Some(watch) = self.watch.as_ref().filter(|watch| !watch.task.is_finished()) {
            watch.reopen.notify_one();
            return;
        }
        let reopen = Rc::new(Notify::new());
        let watch = Watch::new(self.address, self.first_version, handler, self.connector.clone());
        let task = tokio::task::spawn_local(watch.run(reopen.clone()));
        self.watch = Some(RunningWatch { task, reopen });
    }
}

#[cfg(test)]
mod tests;
