//! The application's side: accepts connections, checks requests, and writes the one answer of each.

mod accept;
mod connection;
mod invalid_request;
mod open_requests;
mod request_handler;
mod response;
mod shutdown;
mod validation;

use crate::driver::Driver;
use crate::framing::ConnectionState;
use open_requests::OpenRequestIds;
use shutdown::ShutdownSignal;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// Connections run short once this share of the slots is taken: clients count connections that they have left
/// behind among those that they may hold.
const SHORT_SHARE: f64 = 0.25;
/// Once this share of the slots is taken, each answer is the last on its connection and says so, which no
/// request can cross: clients that ask once and stay use up what they may hold long before an idle connection
/// is old enough to be closed.
const CROWDED_SHARE: f64 = 0.5;

/// A connection that has been accepted.
struct ClientConnection {
    state: Rc<ConnectionState>,
    /// Asks the connection to close if nobody needs it.
    eviction: Rc<Notify>,
}

impl ClientConnection {
    fn new() -> Self {
        ClientConnection { state: ConnectionState::new(), eviction: Rc::default() }
    }
}

/// The listening side and the connections it has accepted.
pub struct Listener {
    driver: Rc<Driver>,
    shutdown: ShutdownSignal,
    max_connections: usize,
    /// The longest that a client waits for an answer.
    longest_deadline: Duration,
    connections: RefCell<HashMap<u64, ClientConnection>>,
    connection_closed: Notify,
    open_requests: OpenRequestIds,
}

impl Listener {
    /// Serves at most `max_connections` at a time, whose clients wait for an answer no longer than
    /// `longest_deadline`.
    pub fn new(driver: Rc<Driver>, max_connections: usize, longest_deadline: Duration) -> Rc<Self> {
        Rc::new(Listener {
            driver,
            shutdown: ShutdownSignal::new(),
            max_connections,
            longest_deadline,
            connections: RefCell::default(),
            connection_closed: Notify::new(),
            open_requests: OpenRequestIds::default(),
        })
    }

    /// Whether so large a share of the connection slots is taken.
    fn has_taken(&self, share: f64) -> bool {
        self.connections.borrow().len() as f64 >= share * self.max_connections as f64
    }
}

#[cfg(test)]
mod tests;
