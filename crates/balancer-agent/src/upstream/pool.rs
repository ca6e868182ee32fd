//! The pool of connections to servers.

mod addresses;
mod connection;
mod idle;
mod incarnation;
mod server;
mod slots;

pub use connection::{Connection, REUSE_DELAY};

use crate::endpoint_list::{EndpointEntry, EntryStatus};
use crate::memory::MemoryBudget;
use addresses::ServersByAddress;
use balancer_core::{Outcome, ServerId};
use connection::ConnectionTarget;
use incarnation::IncarnationCounter;
use server::PooledServer;
use slots::{ConnectionSlot, ConnectionSlots};
use std::cell::RefCell;
use std::collections::hash_map::Entry;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{sleep_until, timeout, Instant};

/// The maximum idle time of a connection, as a fraction of the idle time after which the server closes it. If
/// the server closes a connection while a request is being written to it, the attempt ends as a connection
/// reset, and the request may or may not have run.
const MAX_IDLE_FRACTION: f64 = 0.7;

/// The limits of a connection pool.
#[derive(Debug, Clone, Copy)]
pub struct PoolLimits {
    /// The maximum number of connections at a time, including those that are being opened.
    pub max_connections: usize,
    /// How long opening a connection may take before it fails.
    pub connect_timeout: Duration,
    /// How long a connection may be idle before the server closes it.
    pub keepalive: Duration,
}

/// The result of looking for an idle connection to a server.
enum IdleLookup {
    /// An idle connection, which is ready for a request.
    Found(Connection),
    /// The server has idle connections, but none can be reused before this time.
    ReusableAt(Instant),
    /// The server has no idle connection, and a new one must be opened to this target.
    MustConnect(ConnectionTarget),
}

/// A pool of connections to servers. It holds the addresses of all servers and the idle connections to them,
/// opens new connections, and limits the number of connections.
pub struct ConnectionPool {
    connect_timeout: Duration,
    /// How long a connection may be idle before the pool closes it.
    max_idle_time: Duration,
    slots: ConnectionSlots,
    servers: RefCell<HashMap<ServerId, PooledServer>>,
    servers_by_address: RefCell<ServersByAddress>,
    incarnations: IncarnationCounter,
}

impl ConnectionPool {
    /// Creates a pool without servers. Its connections take their memory from `memory`.
    pub fn new(limits: PoolLimits, memory: MemoryBudget) -> Rc<Self> {
        Rc::new(ConnectionPool {
            connect_timeout: limits.connect_timeout,
            max_idle_time: limits.keepalive.mul_f64(MAX_IDLE_FRACTION),
            slots: ConnectionSlots::new(limits.max_connections, memory),
            servers: RefCell::default(),
            servers_by_address: RefCell::default(),
            incarnations: IncarnationCounter::default(),
        })
    }

    /// Returns whether the endpoint list contains a server that accepts new requests.
    pub fn has_serving_server(&self) -> bool {
        self.servers.borrow().values().any(PooledServer::is_serving)
    }

    /// Applies an entry of the endpoint list. The server's idle connections are closed if the server has a
    /// new address, has restarted, is draining, or is removed. Exchanges in progress continue.
    pub fn update_server(&self, server: ServerId, entry: &EndpointEntry) {
        if entry.status == EntryStatus::Removed {
            self.remove_server(server);
            return;
        }
        let address_in_use = entry.address.filter(|_| entry.status == EntryStatus::Serving);
        if let Some(address) = address_in_use {
            self.assign_address(address, server);
        }
        let next_incarnation = self.incarnations.next();
        match self.servers.borrow_mut().entry(server) {
            Entry::Vacant(vacant) => {
                vacant.insert(PooledServer::new(server, entry, next_incarnation));
            }
            Entry::Occupied(mut occupied) => {
                if let Some(previous_address) = occupied.get_mut().update(entry, next_incarnation) {
                    self.servers_by_address.borrow_mut().unassign(previous_address, server);
                }
            }
        }
    }

    /// Assigns an address to a server. If the address belonged to another server, the process of that server
    /// at this address has ended, even if the endpoint list has not stated this. That server then starts a
    /// new incarnation, so that connections to the ended process are not used again.
    fn assign_address(&self, address: SocketAddr, server: ServerId) {
        let previous = self.servers_by_address.borrow_mut().assign(address, server);
        let mut servers = self.servers.borrow_mut();
        if let Some(previous) = previous.and_then(|previous| servers.get_mut(&previous)) {
            previous.start_incarnation(self.incarnations.next());
        }
    }

    fn remove_server(&self, server: ServerId) {
        let removed = self.servers.borrow_mut().remove(&server);
        if let Some(address) = removed.and_then(|pooled| pooled.address()) {
            self.servers_by_address.borrow_mut().unassign(address, server);
        }
    }

    /// Removes the servers that are missing from a complete endpoint list.
    pub fn remove_unlisted_servers(&self, listed: &HashSet<ServerId>) {
        let servers: Vec<ServerId> = self.servers.borrow().keys().copied().collect();
        for server in servers {
            if !listed.contains(&server) {
                self.remove_server(server);
            }
        }
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&self, server: ServerId) {
        if let Some(pooled) = self.servers.borrow_mut().get_mut(&server) {
            pooled.idle_mut().close_all();
        }
    }

    /// Closes all connections that have been idle for too long.
    pub fn close_stale(&self) {
        for pooled in self.servers.borrow_mut().values_mut() {
            pooled.idle_mut().close_stale(self.max_idle_time);
        }
    }

    /// Returns a connection to a server for an exchange.
    ///
    /// The connection is the most recently used idle connection that can be reused. If the server has idle
    /// connections but none can be reused yet, waits until one can. If the server has no idle connection,
    /// opens a new connection.
    ///
    /// # Errors
    ///
    /// * [`Outcome::NotSent`] if no connection slot or no memory is free, the server's address is unknown or the server
    ///   accepts no new requests. For an attempt, this does not count as a failure of the server. A health
    ///   check with this outcome has failed, so that the balancer may eject or suspect the server.
    /// * [`Outcome::ConnectFailed`] if the connection could not be opened in time.
    pub async fn acquire(self: &Rc<Self>, server: ServerId) -> Result<Connection, Outcome> {
        loop {
            match self.take_idle(server)? {
                IdleLookup::Found(connection) => return Ok(connection),
                IdleLookup::ReusableAt(reusable_at) => sleep_until(reusable_at).await,
                IdleLookup::MustConnect(target) => return self.connect(target).await,
            }
        }
    }

    /// Removes and returns an idle connection to a server if one can be reused now. Otherwise, returns when
    /// one can be reused or where a new one must be opened.
    fn take_idle(&self, server: ServerId) -> Result<IdleLookup, Outcome> {
        let mut servers = self.servers.borrow_mut();
        let pooled = servers.get_mut(&server).filter(|pooled| pooled.is_serving()).ok_or(Outcome::NotSent)?;
        let idle = pooled.idle_mut();
        idle.close_unusable(self.max_idle_time);
        if let Some(connection) = idle.pop_reusable() {
            return Ok(IdleLookup::Found(connection));
        }
        if let Some(reusable_at) = idle.next_reusable_at() {
            return Ok(IdleLookup::ReusableAt(reusable_at));
        }
        let target = pooled.target().ok_or(Outcome::NotSent)?;
        Ok(IdleLookup::MustConnect(target))
    }

    /// Opens a connection in a separate task. If the caller stops waiting, the connection is released to the
    /// pool for a later exchange, because opening it has cost the server work.
    async fn connect(self: &Rc<Self>, target: ConnectionTarget) -> Result<Connection, Outcome> {
        let slot = self.reserve_slot().await.ok_or(Outcome::NotSent)?;
        let (sender, receiver) = oneshot::channel();
        let pool = self.clone();
        tokio::task::spawn_local(async move {
            let opened = timeout(pool.connect_timeout, Connection::open(target, slot)).await;
            let connection = opened.ok().and_then(Result::ok);
            if let Err(Some(unclaimed)) = sender.send(connection) {
                pool.release(unclaimed);
            }
        });
        receiver.await.ok().flatten().ok_or(Outcome::ConnectFailed)
    }

    /// Reserves a slot for one more connection. If all slots are in use or memory is short, closes the
    /// connection that has been idle for longest in its favour. Returns `None` if no connection is idle then.
    async fn reserve_slot(&self) -> Option<ConnectionSlot> {
        loop {
            if let Some(slot) = self.slots.reserve() {
                return Some(slot);
            }
            if !self.close_least_recently_used() {
                return None;
            }
            // The task of the closed connection ends, and frees its slot, before this one continues.
            tokio::task::yield_now().await;
        }
    }

    /// Closes the connection that has been idle for longest. Returns `false` if no connection is idle.
    pub fn close_least_recently_used(&self) -> bool {
        let mut servers = self.servers.borrow_mut();
        let with_idle = servers.values_mut().filter(|pooled| pooled.idle().oldest_idle_since().is_some());
        let oldest = with_idle.min_by_key(|pooled| pooled.idle().oldest_idle_since());
        if let Some(pooled) = oldest {
            pooled.idle_mut().close_oldest();
            return true;
        }
        false
    }

    /// Returns whether the connection leads to the current incarnation of its server, and the server accepts
    /// new requests.
    pub fn is_current(&self, connection: &Connection) -> bool {
        let servers = self.servers.borrow();
        servers.get(&connection.server()).is_some_and(|pooled| pooled.is_current(connection))
    }

    /// Adds a connection that carries no exchange to the idle connections. The connection is closed instead
    /// if it does not lead to the current incarnation of its server or the server accepts no new requests.
    pub fn release(&self, connection: Connection) {
        if !self.is_current(&connection) || connection.is_closed() {
            return;
        }
        if let Some(pooled) = self.servers.borrow_mut().get_mut(&connection.server()) {
            pooled.idle_mut().push(connection);
        }
    }
}

#[cfg(test)]
mod tests;
