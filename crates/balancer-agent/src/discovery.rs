//! The watch of the endpoint list at the discovery service.
//!
//! A watch is a series of calls to discovery, each of which waits for changes of the list. The balancer
//! decides when a watch starts, and when it continues after a failure
//! ([`balancer_core::Action::WatchEndpoints`]). This module makes the calls of the watch.

mod call;
mod connector;
mod list_order;
mod list_text;
mod open_calls;
mod watch;
mod watch_event;

pub use watch_event::{WatchEvent, WatchHandler};

use connector::{Connector, TcpConnector};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::task::JoinHandle;
use watch::{Watch, WatchCommand};

/// The address of discovery, and at most one watch of its endpoint list.
pub struct Discovery<C = TcpConnector> {
    connector: Rc<C>,
    address: SocketAddr,
    /// The version of the list that a watch begins with, or `None` if a watch begins with the complete list.
    first_version: Option<u64>,
    watch: Option<RunningWatch>,
}

/// The task of a watch. Dropping the value ends the watch and closes its connections.
struct RunningWatch {
    task: JoinHandle<()>,
    commands: UnboundedSender<WatchCommand>,
}

impl RunningWatch {
    /// Sends a command to the watch. Has no effect if its task has ended.
    fn send(&self, command: WatchCommand) {
        let _ = self.commands.send(command);
    }
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

    /// Changes the address of the service. A running watch requests the complete list at the new address. Its
    /// calls at the former address stay open, but no more calls are made there.
    ///
    /// Has no effect if the address is the present one.
    pub fn set_address(&mut self, address: SocketAddr) {
        if address == self.address {
            return;
        }
        self.address = address;
        self.first_version = None;
        if let Some(watch) = &self.watch {
            watch.send(WatchCommand::ChangeAddress(address));
        }
    }

    /// Starts the watch, or continues it after a failure. Has no effect on a watch that has not failed. A
    /// watch whose task has panicked is started anew.
    pub fn watch(&mut self, handler: Rc<impl WatchHandler + 'static>) {
        if let Some(watch) = self.watch.as_ref().filter(|watch| !watch.task.is_finished()) {
            watch.send(WatchCommand::Reopen);
            return;
        }
        let (commands, receiver) = unbounded_channel();
        let watch = Watch::new(self.address, self.first_version, handler, self.connector.clone());
        let task = tokio::task::spawn_local(watch.run(receiver));
        self.watch = Some(RunningWatch { task, commands });
    }
}

#[cfg(test)]
mod tests;
