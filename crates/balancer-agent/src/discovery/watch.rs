//! The watch: which call follows which, and which lists are passed on.

use super::call::{Call, CallError, Connection};
use super::connector::Connector;
use super::list_order::ListOrder;
use super::open_calls::{wait_until, EndedCall, OpenCalls};
use super::watch_event::{WatchEvent, WatchHandler};
use crate::logging::log_line;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc::UnboundedReceiver;

/// A command to a running watch.
pub enum WatchCommand {
    /// Continue the watch if it has failed.
    Reopen,
    /// Continue the watch at this address of discovery.
    ChangeAddress(SocketAddr),
}

/// A watch of the endpoint list.
///
/// The watch makes one call after another, without a delay. If a response is overdue, the watch has failed:
/// the connection may have fallen silent, or discovery may be slow. The handler then reopens the watch with
/// another call on a new connection, and the open calls go on. Otherwise, a discovery service that always
/// needs longer than the timeout would never be heard.
///
/// If the address of discovery changes, the watch requests the complete list at the new address, and the open
/// calls go on until a list arrives from a later call. Otherwise, if the address changes more often than
/// discovery responds, it would never be heard.
pub struct Watch<Handler, C> {
    address: SocketAddr,
    order: ListOrder,
    handler: Rc<Handler>,
    calls: OpenCalls<C>,
    /// Whether the watch has failed and has not been reopened.
    has_failed: bool,
    /// The errors that have been logged since the last list.
    logged_errors: Vec<CallError>,
}

impl<Handler: WatchHandler, C: Connector> Watch<Handler, C> {
    /// Creates a watch that begins with the changes after `version`, or with the complete list. `connector`
    /// opens its connections.
    pub fn new(address: SocketAddr, version: Option<u64>, handler: Rc<Handler>, connector: Rc<C>) -> Self {
        Watch {
            address,
            order: ListOrder::new(version),
            handler,
            calls: OpenCalls::new(connector),
            has_failed: false,
            logged_errors: Vec::new(),
        }
    }

    /// Runs the watch until the sender of the commands is dropped.
    pub async fn run(mut self, mut commands: UnboundedReceiver<WatchCommand>) {
        self.open_call(None);
        loop {
            let overdue_at = self.calls.newest_due_at().filter(|_| !self.has_failed);
            tokio::select! {
                biased;
                Some(ended) = self.calls.next_ended() => self.end_call(ended),
                command = commands.recv() => match command {
                    Some(WatchCommand::Reopen) => self.reopen(),
                    Some(WatchCommand::ChangeAddress(address)) => self.change_address(address),
                    None => return,
                },
                () = wait_until(overdue_at) => self.fail(),
            }
        }
    }

    fn open_call(&mut self, connection: Option<Connection>) {
        self.calls.open(Call { address: self.address, basis: self.order.basis(), connection });
    }

    fn reopen(&mut self) {
        if self.has_failed {
            self.has_failed = false;
            self.open_call(None);
        }
    }

    fn change_address(&mut self, address: SocketAddr) {
        self.address = address;
        self.order.change_address();
        self.calls.change_address();
        self.has_failed = false;
        self.logged_errors.clear();
        self.open_call(None);
    }

    fn fail(&mut self) {
        self.has_failed = true;
        self.handler.clone().handle_watch_event(WatchEvent::Failed);
    }

    /// Passes on the list of a call that has ended, unless the list in use is newer. The watch continues with
    /// the next call, unless the address has changed or a call that was made later is still open.
    fn end_call(&mut self, ended: EndedCall) {
        let is_present_address = self.order.is_present_address(ended.basis);
        let continues_watch = ended.is_newest && is_present_address;
        let response = match ended.result {
            Ok(response) => response,
            // A former address closes its connections, which is no failure.
            Err(_) if !is_present_address => return,
            Err(error) => {
                self.log_once(error);
                if continues_watch && !self.has_failed {
                    self.fail();
                }
                return;
            }
        };
        self.logged_errors.clear();
        if self.order.accept(ended.basis, &response.list) {
            self.calls.give_up_before(ended.number);
            self.handler.clone().handle_watch_event(WatchEvent::Endpoints(response.list));
        }
        if continues_watch {
            self.has_failed = false;
            self.open_call(Some(response.connection));
        }
    }

    /// Logs the error of a call, unless the same error has been logged since the last list.
    fn log_once(&mut self, error: CallError) {
        if !self.logged_errors.contains(&error) {
            self.logged_errors.push(error);
            log_line!("discovery at {}: {error}; the known servers stay in use", self.address);
        }
    }
}
