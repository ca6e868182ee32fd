//! A server as the connection pool knows it.

use super::connection::{Connection, ConnectionTarget};
use super::idle::IdleConnections;
use super::incarnation::Incarnation;
use crate::endpoint_list::{EndpointEntry, EndpointHealth};
use balancer_core::ServerId;
use std::net::SocketAddr;

/// Where a server is reached, as the endpoint list last described it, and its idle connections.
pub struct PooledServer {
    id: ServerId,
    address: Option<SocketAddr>,
    /// When its process last started, in Unix milliseconds; 0 for long ago.
    started_at_ms: f64,
    incarnation: Incarnation,
    is_up: bool,
    idle: IdleConnections,
}

impl PooledServer {
    /// A server that the endpoint list names for the first time.
    pub fn new(id: ServerId, entry: &EndpointEntry, incarnation: Incarnation) -> Self {
        PooledServer {
            id,
            address: entry.address,
            started_at_ms: entry.started_at_ms,
            incarnation,
            is_up: entry.health == EndpointHealth::Up,
            idle: IdleConnections::default(),
        }
    }

    /// Applies a new entry of the endpoint list. A new address or a new process begins `next_incarnation`.
    /// Returns the address that the server has left, if it has a new one.
    pub fn update(&mut self, entry: &EndpointEntry, next_incarnation: Incarnation) -> Option<SocketAddr> {
        let new_address = entry.address.filter(|address| self.address != Some(*address));
        let has_restarted = entry.started_at_ms != self.started_at_ms;
        if new_address.is_some() || has_restarted {
            self.start_incarnation(next_incarnation);
            self.started_at_ms = entry.started_at_ms;
        }
        let left_address = new_address.and(self.address);
        self.address = new_address.or(self.address);
        self.is_up = entry.health == EndpointHealth::Up;
        if !self.is_up {
            self.idle.close_all();
        }
        left_address
    }

    /// Begins a new incarnation: connections of the one before are no longer used.
    pub fn start_incarnation(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
        self.idle.close_all();
    }

    /// Its last known address.
    pub fn address(&self) -> Option<SocketAddr> {
        self.address
    }

    /// Whether it accepts new work.
    pub fn is_up(&self) -> bool {
        self.is_up
    }

    /// Whether it accepts new work, and a connection leads to its present incarnation.
    pub fn is_current(&self, connection: &Connection) -> bool {
        self.is_up && self.incarnation == connection.incarnation()
    }

    /// Where a new connection must lead to; `None` if the address is unknown.
    pub fn target(&self) -> Option<ConnectionTarget> {
        let address = self.address?;
        Some(ConnectionTarget { server: self.id, incarnation: self.incarnation, address })
    }

    /// Its idle connections.
    pub fn idle(&self) -> &IdleConnections {
        &self.idle
    }

    /// Its idle connections.
    pub fn idle_mut(&mut self) -> &mut IdleConnections {
        &mut self.idle
    }
}
