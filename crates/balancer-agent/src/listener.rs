//! The agent's side towards clients: accepts connections, validates requests and writes one answer to each.

mod acceptor;
mod client_connection;
mod connection_table;
mod invalid_request;
mod open_requests;
mod request_handler;
mod response;
mod shutdown;
mod slot_usage;
mod time_limits;
mod validation;

use crate::driver::Driver;
use crate::framing::ConnectionState;
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

/// The listening side: it owns the client connections, the request handler and the shutdown, and orders their
/// steps.
pub struct Listener {
    connections: ConnectionTable,
    request_handler: RequestHandler,
    shutdown: ShutdownSignal,
    /// The longest deadline of a request.
    longest_deadline: Duration,
}

impl Listener {
    /// Serves at most `max_connections` at a time. `longest_deadline` is the longest that a client waits for
    /// an answer.
    pub fn new(driver: Rc<Driver>, max_connections: usize, longest_deadline: Duration) -> Rc<Self> {
        Rc::new(Listener {
            connections: ConnectionTable::new(max_connections),
            request_handler: RequestHandler::new(driver),
            shutdown: ShutdownSignal::new(),
            longest_deadline,
        })
    }

    /// Accepts connections until a graceful shutdown ends it. Each is accepted at once; if all slots are in
    /// use, a connection without a request is evicted, so that hundreds of unused connections do not lock
    /// other clients out.
    pub async fn accept(self: Rc<Self>, socket: TcpListener) {
        let acceptor = Acceptor::new(socket);
        while let Some(stream) = acceptor.next_connection(&self.shutdown).await {
            self.connections.wait_for_slot().await;
            let connection = self.connections.open();
            spawn_local(self.clone().run_connection(stream, connection));
        }
    }

    /// Shuts down gracefully: announces `Connection: close` from now on and closes idle connections. Returns
    /// once `accepting` has accepted the last connection and each connection has been closed after its last
    /// answer, or when SIGKILL is due.
    pub async fn shut_down(&self, accepting: JoinHandle<()>) {
        let schedule = ShutdownSchedule::starting_at(Instant::now(), self.longest_deadline);
        self.shutdown.start(schedule);
        let all_closed = async {
            // The task ends by itself; an error would mean that it has ended as well.
            let _ = accepting.await;
            self.connections.wait_until_empty().await;
        };
        // At the time limit the agent exits with what is left.
        let _ = timeout_at(schedule.exit_by(), all_closed).await;
    }

    async fn run_connection(self: Rc<Self>, stream: TcpStream, connection: Rc<ClientConnection>) {
        self.clone().serve_connection(stream, connection.clone()).await;
        self.connections.close(connection.id());
    }

    /// Serves the requests of a connection until it closes or exceeds a time limit.
    async fn serve_connection(self: Rc<Self>, stream: TcpStream, connection: Rc<ClientConnection>) {
        let listener = self.clone();
        let state = connection.state().clone();
        let service = service_fn(move |request| listener.clone().answer(request, state.clone()));
        let slot_usage = || self.connections.usage();
        connection.serve(stream, service, slot_usage, &self.shutdown, self.longest_deadline).await;
    }

    /// Answers one request, and decides whether that is the last answer on its connection.
    async fn answer(
        self: Rc<Self>,
        request: Request<Incoming>,
        connection: Rc<ConnectionState>,
    ) -> Result<ClientResponse, Infallible> {
        let result = self.request_handler.handle(request, &connection, &self.shutdown).await;
        // What follows an invalid request may not be what its sender meant to be read as a request.
        let is_last = result.is_err() || self.closes_after_answer(&connection);
        let mut response = result.unwrap_or_else(ClientResponse::from);
        if is_last {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        connection.answer_decided();
        Ok(response)
    }

    /// Whether a valid request's answer is the last one on its connection.
    fn closes_after_answer(&self, connection: &ConnectionState) -> bool {
        self.shutdown.has_started()
            || self.connections.usage() == SlotUsage::High
            || connection.framing_fault().is_some()
    }
}

#[cfg(test)]
mod tests;
