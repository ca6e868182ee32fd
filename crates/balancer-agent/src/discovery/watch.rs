//! The watch: which call follows which, and which lists are passed on.

use super::call::{Call, CallError, Connection};
use super::connector::Connector;
use super::open_calls::{EndedCall, OpenCalls};
use super::watch_event::{WatchEvent, WatchHandler};
use crate::endpoint_list::EndpointList;
use crate::logging::log_line;
use std::future::pending;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::{sleep_until, Instant};

/// A watch of the endpoint list at one discovery service.
///
/// The watch makes one call after another, without a delay. If a response is overdue, the watch has failed:
/// the connection may have fallen silent, or discovery may be slow. The handler then reopens the watch with
/// another call on a new connection, and the open calls go on. Otherwise, a discovery service that always
/// needs longer than the timeout would never be heard.
pub struct Watch<Handler, C> {
    address: SocketAddr,
    /// The version of the last list, or `None` if there has been none from this discovery service.
    version: Option<u64>,
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
            version,
            handler,
            calls: OpenCalls::new(connector),
            has_failed: false,
            logged_errors: Vec::new(),
        }
    }

    /// Runs the watch. Each notification of `reopen` reopens the watch if it has failed. Never returns.
    pub async fn run(mut self, reopen: Rc<Notify>) {
        self.open_call(None);
        loop {
            let overdue_at = self.calls.newest_due_at().filter(|_| !self.has_failed);
            tokio::select! {
                biased;
                Some(ended) = self.calls.next_ended() => self.end_call(ended),
                () = reopen.notified() => self.reopen(),
                () = wait_until(overdue_at) => self.fail(),
            }
        }
    }

    fn open_call(&mut self, connection: Option<Connection>) {
        self.calls.open(Call { address: self.address, after_version: self.version, connection });
    }

    fn reopen(&mut self) {
        if self.has_failed {
            self.has_failed = false;
            self.open_call(None);
        }
    }

    fn fail(&mut self) {
        self.has_failed = true;
        self.handler.clone().handle_watch_event(WatchEvent::Failed);
    }

    /// Passes on the list of a call that has ended. The watch continues with the next call, unless a call
    /// that was made later is still open.
    fn end_call(&mut self, ended: EndedCall) {
        let response = match ended.result {
            Ok(response) => response,
            Err(error) => {
                self.log_once(error);
                if ended.is_newest && !self.has_failed {
                    self.fail();
                }
                return;
            }
        };
        self.logged_errors.clear();
        self.pass_on(response.list, ended.after_version);
        if ended.is_newest {
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

    /// Passes on a list, unless a newer list has been passed on since its call was made.
    fn pass_on(&mut self, list: EndpointList, after_version: Option<u64>) {
        let is_overtaken = self.version != after_version && Some(list.version) < self.version;
        if !is_overtaken {
            self.version = Some(list.version);
            self.handler.clone().handle_watch_event(WatchEvent::Endpoints(list));
        }
    }
}

/// Waits until a moment, or forever if there is none.
async fn wait_until(moment: Option<Instant>) {
    match moment {
        Some(moment) => sleep_until(moment).await,
        None => pending().await,
    }
}
