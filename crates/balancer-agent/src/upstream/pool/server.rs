//! The state of one server in the connection pool.

use super::connection::{Connection, ConnectionTarget};
use super::idle::IdleConnections;
use super::incarnation::Incarnation;
use crate::endpoint_list::{EndpointEntry, EntryStatus};
use balancer_core::ServerId;
use std::net::SocketAddr;

/// The address and status of a server, as the endpoint list last stated them, and the idle connections to the
/// server.
pub struct PooledServer {
    id: ServerId,
    address: Option<SocketAddr>,
    /// When the server's process last started, in Unix milliseconds; 0 means long ago.
    started_at_ms: f64,
    incarnation: Incarnation,
    is_serving: bool,
    idle: IdleConnections,
}

impl PooledServer {
    /// Creates the state of a server from its first entry in the endpoint list.
    pub fn new(id: ServerId, entry: &EndpointEntry, incarnation: Incarnation) -> Self {
        PooledServer {
            id,
            address: entry.address,
            started_at_ms: entry.started_at_ms,
            incarnation,
            is_serving: entry.status == EntryStatus::Serving,
            idle: IdleConnections::default(),
        }
    }

    /// Applies a new entry of the endpoint list. If the server has a new address or has restarted, it gets
    /// the incarnation `next_incarnation`. Returns the previous address if the server has a new one.
    pub fn update(&mut self, entry: &EndpointEntry, next_incarnation: Incarnation) -> Option<SocketAddr> {
        let new_address = entry.address.filter(|address| self.address != Some(*address));
        let has_restarted = entry.started_at_ms != self.started_at_ms;
        if new_address.is_some() || has_restarted {
            self.start_incarnation(next_incarnation);
            self.started_at_ms = entry.started_at_ms;
        }
        let previous_address = new_address.and(self.address);
        self.address = new_address.or(self.address);
        self.is_serving = entry.status == EntryStatus::Serving;
        if !self.is_serving {
            self.idle.close_all();
        }
        previous_address
    }

    /// Starts a new incarnation. Connections to the previous one are no longer used.
    pub fn start_incarnation(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
        self.idle.close_all();
    }

    /// Returns the server's last known address.
    pub fn address(&self) -> Option<SocketAddr> {
        self.address
    }

    /// Returns whether the server accepts new requests.
    pub fn is_serving(&self) -> bool {
        self.is_serving
    }

    /// Returns whether the server accepts new requests and the connection leads to its current incarnation.
    pub fn is_current(&self, connection: &Connection) -> bool {
        self.is_serving && self.incarnation == connection.incarnation()
    }

    /// Returns the target of a new connection, or `None` if the server's address is unknown.
    pub fn target(&self) -> Option<ConnectionTarget> {
        let address = self.address?;
        Some(ConnectionTarget { server: self.id, incarnation: self.incarnation, address })
    }

    /// Returns the idle connections to the server.
    pub fn idle(&self) -> &IdleConnections {
        &self.idle
    }

    /// Returns a mutable reference to the idle connections to the server.
    pub fn idle_mut(&mut self) -> &mut IdleConnections {
        &mut self.idle
    }
}
