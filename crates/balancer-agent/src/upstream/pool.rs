//! The pool of connections to servers.

mod addresses;
mod connection;
mod idle;
mod incarnation;
mod server;
mod slots;

pub use connection::{Connection, SETTLE_TIME};

use crate::endpoint_list::{EndpointEntry, EndpointHealth};
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

/// An idle connection is closed after this fraction of the server's own limit. If the server closes it first,
/// while a request is being written to it, that request ends as a reset and may or may not have run.
const MAX_IDLE_FRACTION: f64 = 0.7;

/// What a pool may hold, and for how long.
#[derive(Debug, Clone, Copy)]
pub struct PoolLimits {
    /// Most connections at a time.
    pub max_connections: usize,
    /// A connection that is not open after this time has failed.
    pub connect_timeout: Duration,
    /// Servers close connections that have been idle for this long.
    pub keepalive: Duration,
}

/// The result of looking for an idle connection.
enum Acquired {
    /// An idle connection, ready for a request.
    Connection(Connection),
    /// There are idle connections, and the first has settled at this time.
    SettlesAt(Instant),
    /// There is none, and a new one must lead there.
    MustConnect(ConnectionTarget),
}

/// All servers and the connections to them.
pub struct ConnectionPool {
    connect_timeout: Duration,
    max_idle_time: Duration,
    slots: ConnectionSlots,
    servers: RefCell<HashMap<ServerId, PooledServer>>,
    servers_by_address: RefCell<ServersByAddress>,
    incarnations: IncarnationCounter,
}

impl ConnectionPool {
    /// A pool that knows no server yet.
    pub fn new(limits: PoolLimits) -> Rc<Self> {
        Rc::new(ConnectionPool {
            connect_timeout: limits.connect_timeout,
            max_idle_time: limits.keepalive.mul_f64(MAX_IDLE_FRACTION),
            slots: ConnectionSlots::new(limits.max_connections),
            servers: RefCell::default(),
            servers_by_address: RefCell::default(),
            incarnations: IncarnationCounter::default(),
        })
    }

    /// Whether the endpoint list names a server that accepts new work.
    pub fn has_server(&self) -> bool {
        self.servers.borrow().values().any(PooledServer::is_up)
    }

    /// Applies an entry of the endpoint list. A new address or a new process closes the server's idle
    /// connections, and so does draining; a removed server is forgotten. Exchanges in flight go on.
    pub fn update_server(&self, server: ServerId, entry: &EndpointEntry) {
        if entry.health == EndpointHealth::Removed {
            self.remove_server(server);
            return;
        }
        let address_in_use = entry.address.filter(|_| entry.health == EndpointHealth::Up);
        if let Some(address) = address_in_use {
            self.assign_address(address, server);
        }
        let next_incarnation = self.incarnations.next();
        match self.servers.borrow_mut().entry(server) {
            Entry::Vacant(vacant) => {
                vacant.insert(PooledServer::new(server, entry, next_incarnation));
            }
            Entry::Occupied(mut pooled) => {
                if let Some(left_address) = pooled.get_mut().update(entry, next_incarnation) {
                    self.servers_by_address.borrow_mut().unassign(left_address, server);
                }
            }
        }
    }

    /// Assigns an address to a server. The process of another server that was there has ended, whether or not
    /// the endpoint list said so: its connections must not be used for that server any more.
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

    /// Forgets the servers that a complete endpoint list does not name.
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

    /// Closes the connections that have been idle for too long.
    pub fn close_stale(&self) {
        for pooled in self.servers.borrow_mut().values_mut() {
            pooled.idle_mut().close_stale(self.max_idle_time);
        }
    }

    /// Returns the most recently used connection that is ready and has settled, or opens a new one.
    ///
    /// # Errors
    ///
    /// `NotSent` if this process lacks a connection slot or the server's address, or the server accepts no new
    /// work, none of which is the server's failure; `ConnectFailed` if no connection could be opened in time.
    pub async fn acquire(self: &Rc<Self>, server: ServerId) -> Result<Connection, Outcome> {
        loop {
            match self.try_acquire(server)? {
                Acquired::Connection(connection) => return Ok(connection),
                Acquired::SettlesAt(settled_at) => sleep_until(settled_at).await,
                Acquired::MustConnect(target) => return self.connect(target).await,
            }
        }
    }

    fn try_acquire(&self, server: ServerId) -> Result<Acquired, Outcome> {
        let mut servers = self.servers.borrow_mut();
        let pooled = servers.get_mut(&server).filter(|pooled| pooled.is_up()).ok_or(Outcome::NotSent)?;
        let idle = pooled.idle_mut();
        idle.close_unusable(self.max_idle_time);
        if let Some(connection) = idle.pop_settled() {
            return Ok(Acquired::Connection(connection));
        }
        if let Some(settled_at) = idle.next_settled_at() {
            return Ok(Acquired::SettlesAt(settled_at));
        }
        let target = pooled.target().ok_or(Outcome::NotSent)?;
        Ok(Acquired::MustConnect(target))
    }

    /// Opens a connection in a task of its own. If its attempt is cancelled meanwhile, the connection is kept
    /// for the next one: opening it has cost the server work.
    async fn connect(self: &Rc<Self>, target: ConnectionTarget) -> Result<Connection, Outcome> {
        let slot = self.reserve_slot().ok_or(Outcome::NotSent)?;
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

    /// Reserves a slot for one more connection. If all are in use, the connection that has been idle for
    /// longest is closed for it; `None` if no connection is idle.
    fn reserve_slot(&self) -> Option<ConnectionSlot> {
        if self.slots.is_exhausted() && !self.close_least_recently_used() {
            return None;
        }
        Some(self.slots.reserve())
    }

    /// Closes the connection that has been idle for longest; false if no connection is idle.
    fn close_least_recently_used(&self) -> bool {
        let mut servers = self.servers.borrow_mut();
        let with_idle = servers.values_mut().filter(|pooled| pooled.idle().oldest_idle_since().is_some());
        let oldest = with_idle.min_by_key(|pooled| pooled.idle().oldest_idle_since());
        if let Some(pooled) = oldest {
            pooled.idle_mut().close_oldest();
            return true;
        }
        false
    }

    /// Whether the server accepts new work, and the connection leads to its present incarnation.
    pub fn is_current(&self, connection: &Connection) -> bool {
        let servers = self.servers.borrow();
        servers.get(&connection.server()).is_some_and(|pooled| pooled.is_current(connection))
    }

    /// Keeps a connection that carries no exchange for the next request. It is closed instead if it no longer
    /// leads to the server's present incarnation.
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
