//! The open client connections: their slots, and the eviction of a connection when all slots are in use.

use super::client_connection::{ClientConnection, ConnectionId};
use super::slot_usage::SlotUsage;
use super::time_limits::{MIN_IDLE_TIME, MIN_SILENT_TIME};
use crate::framing::{ConnectionState, Phase};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{timeout, Instant};

/// How often a wait for a slot looks for a connection that has become evictable.
const EVICTION_INTERVAL: Duration = Duration::from_millis(20);

/// The open client connections.
pub struct ConnectionTable {
    max_connections: usize,
    next_id: Cell<ConnectionId>,
    connections: RefCell<HashMap<ConnectionId, Rc<ClientConnection>>>,
    connection_closed: Notify,
}

impl ConnectionTable {
    /// A table with this many slots.
    pub fn new(max_connections: usize) -> Self {
        ConnectionTable {
            max_connections,
            next_id: Cell::default(),
            connections: RefCell::default(),
            connection_closed: Notify::new(),
        }
    }

    /// How scarce the slots are.
    pub fn usage(&self) -> SlotUsage {
        SlotUsage::of(self.connections.borrow().len(), self.max_connections)
    }

    /// Adds a connection that has just been accepted.
    pub fn open(&self) -> Rc<ClientConnection> {
        let id = self.next_id.get();
        self.next_id.set(id.next());
        let connection = Rc::new(ClientConnection::new(id));
        self.connections.borrow_mut().insert(id, connection.clone());
        connection
    }

    /// Removes a connection that has been closed, which frees its slot.
    pub fn close(&self, id: ConnectionId) {
        self.connections.borrow_mut().remove(&id);
        self.connection_closed.notify_one();
    }

    /// Returns once a slot is free. While none is, connections are evicted one by one.
    pub async fn wait_for_slot(&self) {
        while self.connections.borrow().len() >= self.max_connections {
            self.evict_one();
            // Either a connection has closed or it is time to look for another one to evict.
            let _ = timeout(EVICTION_INTERVAL, self.connection_closed.notified()).await;
        }
    }

    /// Returns once all connections are closed.
    pub async fn wait_until_empty(&self) {
        while !self.connections.borrow().is_empty() {
            self.connection_closed.notified().await;
        }
    }

    /// Evicts the connection whose close costs its client least, if there is one that may be evicted.
    fn evict_one(&self) {
        let connections = self.connections.borrow();
        let evictable = connections.values().filter(|connection| is_evictable(connection.state()));
        if let Some(connection) = evictable.min_by_key(|connection| EvictionRank::of(connection.state())) {
            connection.evict();
        }
    }
}

/// Whether a connection may be evicted now. One with an open or partly received request never is.
fn is_evictable(state: &ConnectionState) -> bool {
    let time_in_phase = state.phase_since().elapsed();
    match state.phase() {
        Phase::Silent => time_in_phase >= MIN_SILENT_TIME,
        Phase::Idle => time_in_phase >= MIN_IDLE_TIME,
        Phase::Closing => true,
        Phase::Receiving | Phase::Processing | Phase::Answering => false,
    }
}

/// The order of eviction, least first: silent and closing connections, then idle ones; the oldest phase
/// first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct EvictionRank {
    is_idle: bool,
    phase_since: Instant,
}

impl EvictionRank {
    fn of(state: &ConnectionState) -> Self {
        EvictionRank { is_idle: state.phase() == Phase::Idle, phase_since: state.phase_since() }
    }
}
