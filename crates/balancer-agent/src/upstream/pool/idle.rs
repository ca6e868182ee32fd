//! The idle connections to one server.

use super::connection::Connection;
use std::time::Duration;
use tokio::time::Instant;

/// Open connections that carry no exchange, least recently used first.
#[derive(Default)]
pub struct IdleConnections {
    connections: Vec<Connection>,
}

impl IdleConnections {
    /// Adds a connection that has just become idle.
    pub fn push(&mut self, mut connection: Connection) {
        connection.mark_idle();
        self.connections.push(connection);
    }

    /// Removes and returns the most recently used connection whose reuse delay has ended.
    pub fn pop_reusable(&mut self) -> Option<Connection> {
        let position = self.connections.iter().rposition(Connection::is_reusable)?;
        Some(self.connections.remove(position))
    }

    /// Returns the earliest time at which a connection can be reused, or `None` if there is no connection.
    pub fn next_reusable_at(&self) -> Option<Instant> {
        self.connections.first().map(Connection::reusable_at)
    }

    /// Returns when the least recently used connection became idle, or `None` if there is no connection.
    pub fn oldest_idle_since(&self) -> Option<Instant> {
        self.connections.first().map(Connection::idle_since)
    }

    /// Closes the least recently used connection, if there is one.
    pub fn close_oldest(&mut self) {
        if !self.connections.is_empty() {
            self.connections.remove(0);
        }
    }

    /// Closes the connections that have been idle for `max_idle_time`, and removes those that are already
    /// closed.
    pub fn close_stale(&mut self, max_idle_time: Duration) {
        self.connections.retain(|connection| !is_stale(connection, max_idle_time) && !connection.is_closed());
    }

    /// Closes the connections that have been idle for `max_idle_time` and those that cannot carry a request
    /// now.
    pub fn close_unusable(&mut self, max_idle_time: Duration) {
        self.connections.retain(|connection| !is_stale(connection, max_idle_time) && connection.is_ready());
    }

    /// Closes all connections.
    pub fn close_all(&mut self) {
        self.connections.clear();
    }
}

fn is_stale(connection: &Connection, max_idle_time: Duration) -> bool {
    connection.idle_since().elapsed() >= max_idle_time
}
