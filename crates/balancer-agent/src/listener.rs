//! The agent's server side, which accepts the connections of clients, validates their requests, and writes
//! one response to each request.

mod accept_queue;
mod acceptor;
mod client_connection;
mod connection_table;
mod eviction;
mod invalid_request;
mod rejection;
mod request_handler;
mod response;
mod shutdown;
mod slot_usage;
mod time_limits;
mod validation;

pub use acceptor::listen;

use crate::driver::Driver;
use crate::framing::ConnectionState;
use crate::memory::MemoryBudget;
use acceptor::Acceptor;
use client_connection::ClientConnection;
use connection_table::ConnectionTable;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION};
use hyper::service::service_fn;
use hyper::Request;
use request_handler::RequestHandler;
use response::ClientResponse;
use shutdown::{ShutdownSchedule, ShutdownSignal};
use slot_usage::SlotUsage;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{timeout_at, Instant};

/// The server side of the agent. It accepts client connections, passes their requests to the request handler,
/// and carries out a graceful shutdown.
pub struct Listener {
    connections: ConnectionTable,
    request_handler: RequestHandler,
    shutdown: ShutdownSignal,
    /// The longest that clients wait for a response.
    longest_timeout: Duration,
}

impl Listener {
    /// Creates a listener that serves at most `max_connections` connections at a time. `longest_timeout` is
    /// the longest that clients wait for a response. Connections and requests take their memory from
    /// `memory`.
    pub fn new(
        driver: Rc<Driver>,
        max_connections: usize,
        longest_timeout: Duration,
        memory: MemoryBudget,
    ) -> Rc<Self> {
        Rc::new(Listener {
            connections: ConnectionTable::new(max_connections, memory.clone()),
            request_handler: RequestHandler::new(driver, memory),
            shutdown: ShutdownSignal::new(),
            longest_timeout,
        })
    }

    /// Runs the accept loop until a graceful shutdown ends it.
    ///
    /// A connection is accepted even if all slots are in use. In that case, connections without a complete
    /// request are evicted until a slot is free for the new connection. Without evictions, hundreds of
    /// clients that send nothing, or stop within a request, could lock other clients out.
    pub async fn accept(self: Rc<Self>, socket: TcpListener) {
        let mut acceptor = Acceptor::new(socket);
        while let Some(accepted) = acceptor.next_connection(&self.shutdown).await {
            let slot = self.connections.wait_for_slot(|| self.request_handler.release_memory()).await;
            let connection = self.connections.open(slot, accepted.connected_at);
            spawn_local(self.clone().run_connection(accepted.stream, connection));
        }
    }

    /// Shuts down gracefully: adds `Connection: close` to each response from now on and closes idle
    /// connections.
    ///
    /// Returns once `accept_task` has accepted the last connection and each connection has been closed after
    /// its last response, but at the latest at [`ShutdownSchedule::exit_by`], before SIGKILL is due. Returns
    /// the number of connections that are still open then.
    pub async fn shut_down(&self, accept_task: JoinHandle<()>) -> usize {
        let schedule = ShutdownSchedule::starting_at(Instant::now(), self.longest_timeout);
        self.shutdown.start(schedule);
        let all_closed = async {
            // The task ends by itself. An error means that the task has panicked, so it has ended as well.
            let _ = accept_task.await;
            self.connections.wait_until_empty().await;
        };
        // After the time limit, the agent exits even if connections are still open.
        let _ = timeout_at(schedule.exit_by(), all_closed).await;
        self.connections.open_count()
    }

    /// Serves a connection, and removes it from the connection table after it has been closed.
    async fn run_connection(self: Rc<Self>, stream: TcpStream, connection: Rc<ClientConnection>) {
        self.clone().serve_connection(stream, connection.clone()).await;
        self.connections.close(connection.id());
    }

    /// Serves the requests of a connection until the connection is closed or exceeds a time limit.
    async fn serve_connection(self: Rc<Self>, stream: TcpStream, connection: Rc<ClientConnection>) {
        let listener = self.clone();
        let state = connection.state().clone();
        let service = service_fn(move |request| listener.clone().respond(request, state.clone()));
        let slot_usage = || self.connections.usage();
        let close_reason =
            connection.serve(stream, service, slot_usage, &self.shutdown, self.longest_timeout).await;
        self.request_handler.log_close(close_reason);
    }

    /// Returns the response to one request, with `Connection: close` if it is the last one on its connection.
    async fn respond(
        self: Rc<Self>,
        request: Request<Incoming>,
        connection: Rc<ConnectionState>,
    ) -> Result<ClientResponse, Infallible> {
        let result = self.request_handler.handle(request, &connection, &self.shutdown).await;
        // The bytes after an invalid request might not be the beginning of another one, so they must not be
        // parsed.
        let is_last = result.is_err() || self.is_last_response(&connection);
        let mut response = result.unwrap_or_else(ClientResponse::from);
        if is_last {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        connection.record_response_ready();
        Ok(response)
    }

    /// Returns whether the response to a valid request is the last one on its connection.
    fn is_last_response(&self, connection: &ConnectionState) -> bool {
        self.shutdown.has_started()
            || self.connections.usage() == SlotUsage::High
            || connection.framing_fault().is_some()
    }
}

#[cfg(test)]
mod tests;
