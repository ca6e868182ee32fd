//! The pool of connections to servers, and where each server is reached.

use super::counted_stream::{CountedStream, WireState};
use super::MAX_HEAD;
use crate::endpoint_list::{EndpointEntry, EndpointHealth};
use crate::http_client::{connect, start_http, ConnectionTask};
use balancer_core::{Outcome, ServerId};
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, SendRequest};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{sleep_until, timeout, Instant};

/// An idle connection is given up after this share of the server's own limit: one that the server closes
/// while a request is on its way to it costs that request a reset of which nobody knows whether it ran.
const IDLE_SHARE: f64 = 0.7;
/// After a complete answer a connection is ready again at once, or there is something wrong with it; a second
/// answer may follow some milliseconds later. Until then nothing is sent over it, or that would pass for the
/// next one's.
pub const SETTLE_TIME: Duration = Duration::from_millis(5);

/// What a pool may hold, and for how long.
#[derive(Debug, Clone, Copy)]
pub struct PoolLimits {
    /// Most connections at a time.
    pub max_connections: usize,
    /// A connection that is not open by then has failed.
    pub connect_timeout: Duration,
    /// Servers close connections that have been idle for this long.
    pub keepalive: Duration,
}

/// Counts the processes and addresses of servers. Connections to an earlier one are not used for a later one.
type Incarnation = u64;

/// One open connection; dropping it closes it.
pub struct Connection {
    pub sender: SendRequest<Full<Bytes>>,
    pub wire: Rc<WireState>,
    _task: ConnectionTask,
    server: ServerId,
    incarnation: Incarnation,
    idle_since: Instant,
    _slot: ConnectionSlot,
}

impl Connection {
    fn has_settled(&self) -> bool {
        self.idle_since.elapsed() >= SETTLE_TIME
    }
}

/// A counted place among the connections that the process may hold; dropping it frees the place.
struct ConnectionSlot {
    open_connections: Rc<Cell<usize>>,
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.open_connections.set(self.open_connections.get() - 1);
    }
}

/// A server as the endpoint list last described it.
struct PooledServer {
    address: Option<SocketAddr>,
    started_at_ms: f64,
    incarnation: Incarnation,
    is_up: bool,
    idle: Vec<Connection>,
}

impl PooledServer {
    fn start_incarnation(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
        self.idle.clear();
    }
}

/// Where a request may be sent at once, or what it takes to get there.
enum Acquired {
    Connection(Connection),
    /// Idle connections settle then.
    SettlesAt(Instant),
    MustConnect {
        address: SocketAddr,
        incarnation: Incarnation,
    },
}

/// All servers and the connections to them.
pub struct ConnectionPool {
    limits: PoolLimits,
    servers: RefCell<HashMap<ServerId, PooledServer>>,
    /// The last incarnation that was given; no two processes share one, or a connection to an earlier one
    /// could be taken for the later one's.
    last_incarnation: Cell<Incarnation>,
    /// Who was last named at an address.
    servers_by_address: RefCell<HashMap<SocketAddr, ServerId>>,
    open_connections: Rc<Cell<usize>>,
}

impl ConnectionPool {
    /// A pool that knows no server yet.
    pub fn new(limits: PoolLimits) -> Rc<Self> {
        Rc::new(ConnectionPool {
            limits,
            servers: RefCell::default(),
            last_incarnation: Cell::new(0),
            servers_by_address: RefCell::default(),
            open_connections: Rc::default(),
        })
    }

    /// Takes in an entry of the endpoint list. A new address or a new process means new connections; a server
    /// that drains keeps none that are idle, and one that was removed is forgotten. What is in flight goes
    /// on.
    pub fn update(&self, server: ServerId, entry: &EndpointEntry) {
        if entry.health == EndpointHealth::Removed {
            return self.forget(server);
        }
        let is_up = entry.health == EndpointHealth::Up;
        if let Some(address) = entry.address.filter(|_| is_up) {
            self.take_over_address(server, address);
        }
        let mut servers = self.servers.borrow_mut();
        let is_new = !servers.contains_key(&server);
        let pooled = servers.entry(server).or_insert_with(|| PooledServer {
            address: entry.address,
            started_at_ms: entry.started_at_ms,
            incarnation: 0,
            is_up: true,
            idle: Vec::new(),
        });
        let new_address = entry.address.filter(|address| pooled.address != Some(*address));
        if is_new || new_address.is_some() || entry.started_at_ms != pooled.started_at_ms {
            pooled.start_incarnation(self.next_incarnation());
            pooled.started_at_ms = entry.started_at_ms;
        }
        if let Some(left) = new_address.and(pooled.address) {
            self.vacate(left, server);
        }
        pooled.address = new_address.or(pooled.address);
        pooled.is_up = is_up;
        if !is_up {
            pooled.idle.clear();
        }
    }

    /// Whoever was at the address has gone, announced or not: no connection to it may reach for the newcomer.
    fn take_over_address(&self, server: ServerId, address: SocketAddr) {
        let previous = self.servers_by_address.borrow_mut().insert(address, server);
        let mut servers = self.servers.borrow_mut();
        let previous = previous.filter(|previous| *previous != server);
        if let Some(previous) = previous.and_then(|previous| servers.get_mut(&previous)) {
            previous.start_incarnation(self.next_incarnation());
        }
    }

    fn next_incarnation(&self) -> Incarnation {
        self.last_incarnation.set(self.last_incarnation.get() + 1);
        self.last_incarnation.get()
    }

    fn vacate(&self, address: SocketAddr, server: ServerId) {
        let mut servers_by_address = self.servers_by_address.borrow_mut();
        if servers_by_address.get(&address) == Some(&server) {
            servers_by_address.remove(&address);
        }
    }

    fn forget(&self, server: ServerId) {
        let forgotten = self.servers.borrow_mut().remove(&server);
        if let Some(address) = forgotten.and_then(|pooled| pooled.address) {
            self.vacate(address, server);
        }
    }

    /// Forgets the servers that a complete list no longer names.
    pub fn retain(&self, is_named: impl Fn(ServerId) -> bool) {
        let unnamed = |server: &ServerId| !is_named(*server);
        let removed: Vec<ServerId> = self.servers.borrow().keys().copied().filter(unnamed).collect();
        for server in removed {
            self.forget(server);
        }
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&self, server: ServerId) {
        if let Some(pooled) = self.servers.borrow_mut().get_mut(&server) {
            pooled.idle.clear();
        }
    }

    /// Closes the connections that have been idle for too long.
    pub fn close_stale(&self) {
        for pooled in self.servers.borrow_mut().values_mut() {
            pooled.idle.retain(|connection| !self.is_stale(connection) && !connection.sender.is_closed());
        }
    }

    fn is_stale(&self, connection: &Connection) -> bool {
        connection.idle_since.elapsed() >= self.limits.keepalive.mul_f64(IDLE_SHARE)
    }

    /// The most recently used connection that still stands and has settled, or a new one.
    ///
    /// # Errors
    ///
    /// `NotSent` if this process lacks a connection slot or an address, which is no fault of the server's;
    /// `ConnectFailed` if no connection could be made in time.
    pub async fn acquire(self: &Rc<Self>, server: ServerId) -> Result<Connection, Outcome> {
        loop {
            match self.try_acquire(server)? {
                Acquired::Connection(connection) => return Ok(connection),
                Acquired::SettlesAt(settled) => sleep_until(settled).await,
                Acquired::MustConnect { address, incarnation } => {
                    return self.connect(server, address, incarnation).await;
                }
            }
        }
    }

    fn try_acquire(&self, server: ServerId) -> Result<Acquired, Outcome> {
        let mut servers = self.servers.borrow_mut();
        let pooled = servers.get_mut(&server).filter(|pooled| pooled.is_up).ok_or(Outcome::NotSent)?;
        pooled.idle.retain(|connection| !self.is_stale(connection) && connection.sender.is_ready());
        if let Some(settled) = pooled.idle.iter().rposition(Connection::has_settled) {
            return Ok(Acquired::Connection(pooled.idle.remove(settled)));
        }
        if let Some(first) = pooled.idle.first() {
            return Ok(Acquired::SettlesAt(first.idle_since + SETTLE_TIME));
        }
        let address = pooled.address.ok_or(Outcome::NotSent)?;
        Ok(Acquired::MustConnect { address, incarnation: pooled.incarnation })
    }

    /// Opens a connection in a task of its own: when its attempt is given up meanwhile, the connection, which
    /// has cost the server work by then, serves the next one.
    async fn connect(
        self: &Rc<Self>,
        server: ServerId,
        address: SocketAddr,
        incarnation: Incarnation,
    ) -> Result<Connection, Outcome> {
        let slot = self.take_slot().ok_or(Outcome::NotSent)?;
        let (sender, receiver) = oneshot::channel();
        let pool = self.clone();
        tokio::task::spawn_local(async move {
            let opened = timeout(pool.limits.connect_timeout, open(address)).await.ok().and_then(Result::ok);
            let connection = opened.map(|opened| Connection {
                sender: opened.sender,
                wire: opened.wire,
                _task: opened.task,
                server,
                incarnation,
                idle_since: Instant::now(),
                _slot: slot,
            });
            if let Err(Some(unclaimed)) = sender.send(connection) {
                pool.release(unclaimed);
            }
        });
        receiver.await.ok().flatten().ok_or(Outcome::ConnectFailed)
    }

    /// A slot for one more connection; an idle one of another server gives way if all are taken.
    fn take_slot(&self) -> Option<ConnectionSlot> {
        if self.open_connections.get() >= self.limits.max_connections {
            let mut servers = self.servers.borrow_mut();
            let with_idle = servers.values_mut().filter(|pooled| !pooled.idle.is_empty());
            let oldest = with_idle.min_by_key(|pooled| pooled.idle[0].idle_since);
            oldest?.idle.remove(0);
        }
        self.open_connections.set(self.open_connections.get() + 1);
        Some(ConnectionSlot { open_connections: self.open_connections.clone() })
    }

    /// Whether the server still takes new work, and is the one that the connection leads to.
    pub fn is_current(&self, connection: &Connection) -> bool {
        let servers = self.servers.borrow();
        let pooled = servers.get(&connection.server);
        pooled.is_some_and(|pooled| pooled.is_up && pooled.incarnation == connection.incarnation)
    }

    /// Keeps a connection that carries nothing for the next request, or closes it.
    pub fn release(&self, mut connection: Connection) {
        if !self.is_current(&connection) || connection.sender.is_closed() {
            return;
        }
        if let Some(pooled) = self.servers.borrow_mut().get_mut(&connection.server) {
            connection.idle_since = Instant::now();
            connection.wire.set_write_by(None);
            pooled.idle.push(connection);
        }
    }
}

struct OpenedConnection {
    sender: SendRequest<Full<Bytes>>,
    task: ConnectionTask,
    wire: Rc<WireState>,
}

async fn open(address: SocketAddr) -> io::Result<OpenedConnection> {
    let stream = connect(address).await?;
    let wire = Rc::<WireState>::default();
    let mut builder = Builder::new();
    builder.max_buf_size(MAX_HEAD).max_header_size(MAX_HEAD);
    let socket = CountedStream::new(stream, wire.clone());
    let (sender, task) = start_http(&builder, socket).await.map_err(io::Error::other)?;
    Ok(OpenedConnection { sender, task, wire })
}
