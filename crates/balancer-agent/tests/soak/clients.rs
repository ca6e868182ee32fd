//! The clients of a life: those that behave, and those of a crowd.

use super::common::messages::{read_message, Message};
use super::ledger::{Ending, Ledger};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// How long after SIGTERM clients open new connections (PROTOCOL page).
const CONNECT_TIME_AFTER_SIGTERM: Duration = Duration::from_millis(300);
/// How much longer than its timeout a client listens for a response.
const LISTEN_SLACK: Duration = Duration::from_secs(3);

/// A request class of the configuration, with its longest timeout.
#[derive(Clone, Copy)]
pub struct Class {
    /// The name of the class.
    pub name: &'static str,
    /// Whether its requests may run twice.
    pub may_run_twice: bool,
    /// The timeout of its requests.
    pub timeout: Duration,
}

/// A client that behaves: it sends one request at a time, and uses its connection for as long as it is open.
pub struct Client {
    /// The number of the client, which is part of its request ids.
    pub number: usize,
    /// The address of the agent.
    pub agent: SocketAddr,
    /// The classes of its requests.
    pub classes: Vec<Class>,
    /// When SIGTERM was sent; `None` before.
    pub sigterm_at: watch::Receiver<Option<Instant>>,
    /// When the platform has killed the agent, so that the client ends.
    pub killed_at: watch::Receiver<Option<Instant>>,
    /// The record of the life.
    pub ledger: Ledger,
    /// The source of the client's choices.
    pub rng: fastrand::Rng,
}

/// A connection to the agent.
struct Connection {
    stream: TcpStream,
    /// Whether a response has been received on it.
    is_used: bool,
}

impl Client {
    /// Sends requests until the agent is gone.
    pub async fn run(mut self) {
        let mut connection = None;
        for request_number in 0.. {
            if self.killed_at.borrow().is_some() {
                return;
            }
            if connection.is_none() {
                connection = self.connect().await;
            }
            let Some(open) = connection.take() else { return };
            let class = self.classes[self.rng.usize(0..self.classes.len())];
            let id = format!("client{}-{request_number};", self.number);
            connection = self.exchange(open, class, &id).await;
            sleep(Duration::from_millis(self.rng.u64(0..30))).await;
        }
    }

    /// Opens a connection. Returns `None` if the agent listens no longer or clients open no more connections.
    async fn connect(&self) -> Option<Connection> {
        let may_connect = |at: Option<Instant>| at.is_none_or(|at| at.elapsed() < CONNECT_TIME_AFTER_SIGTERM);
        if !may_connect(*self.sigterm_at.borrow()) {
            return None;
        }
        let stream = TcpStream::connect(self.agent).await.ok()?;
        Some(Connection { stream, is_used: false })
    }

    /// Sends a request and waits for its response, or leaves. Returns the connection if it can be used again.
    async fn exchange(&mut self, mut connection: Connection, class: Class, id: &str) -> Option<Connection> {
        let request = self.draw_request(class, id);
        let is_written = connection.stream.write_all(&request).await.is_ok();
        let killed_before = self.killed_at.borrow().is_some();
        if !is_written || killed_before {
            return None;
        }
        self.ledger.record_request(id, class.timeout, class.may_run_twice);
        if self.rng.u32(0..25) == 0 {
            self.leave(connection, id).await;
            return None;
        }
        let response = timeout(class.timeout + LISTEN_SLACK, read_message(&mut connection.stream, 0)).await;
        let Some(response) = response.ok().flatten() else {
            self.handle_close(&connection, class, id).await;
            return None;
        };
        self.finish(connection, id, &response)
    }

    /// Closes or resets the connection of an open request.
    async fn leave(&mut self, connection: Connection, id: &str) {
        sleep(Duration::from_millis(self.rng.u64(0..20))).await;
        if self.rng.bool() {
            let _ = connection.stream.set_zero_linger();
        }
        drop(connection);
        self.ledger.record_ending(id, Ending::ClosedByClient);
    }

    fn finish(&self, mut connection: Connection, id: &str, response: &Message) -> Option<Connection> {
        let ending = Ending::Response { status: response.status(), body: response.body.clone() };
        self.ledger.record_ending(id, ending);
        connection.is_used = true;
        (response.header("connection") != Some("close")).then_some(connection)
    }

    /// Handles a request whose connection the agent closed without a response. On a connection that was used
    /// before, the close may have crossed a request that the agent has not read. The client then sends it
    /// once more on a new connection.
    async fn handle_close(&mut self, connection: &Connection, class: Class, id: &str) {
        let is_killed = self.killed_at.borrow().is_some();
        let may_have_crossed = connection.is_used && !self.ledger.has_attempt(id);
        if may_have_crossed && !is_killed {
            self.send_again(class, id).await;
        } else {
            self.ledger.record_ending(id, Ending::ClosedByAgent);
        }
    }

    async fn send_again(&mut self, class: Class, id: &str) {
        let request = self.draw_request(class, id);
        let Some(mut connection) = self.connect().await else {
            self.ledger.record_ending(id, Ending::ClosedByClient);
            return;
        };
        if connection.stream.write_all(&request).await.is_err() {
            self.ledger.record_ending(id, Ending::ClosedByClient);
            return;
        }
        self.ledger.record_request(id, class.timeout, class.may_run_twice);
        let response = timeout(class.timeout + LISTEN_SLACK, read_message(&mut connection.stream, 0)).await;
        match response.ok().flatten() {
            Some(response) => drop(self.finish(connection, id, &response)),
            None => self.ledger.record_ending(id, Ending::ClosedByAgent),
        }
    }

    /// Returns a request with a short or a long body, or without one.
    fn draw_request(&mut self, class: Class, id: &str) -> Vec<u8> {
        let (method, key, body_bytes) = match class.name {
            "read" => ("GET", String::new(), 0),
            "save" => ("POST", format!("Idempotency-Key: {id}\r\n"), self.rng.usize(0..400)),
            _ if self.rng.u32(0..10) == 0 => ("POST", String::new(), 60_000),
            _ => ("POST", String::new(), self.rng.usize(0..400)),
        };
        let length =
            if method == "POST" { format!("Content-Length: {body_bytes}\r\n") } else { String::new() };
        let name = class.name;
        let mut request = format!(
            "{method} /{name} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\n\
             X-Priority-Class: {name}\r\nX-Tenant-Id: acme\r\nX-Timeout: {}m\r\n{key}{length}\r\n",
            class.timeout.as_millis()
        )
        .into_bytes();
        request.resize(request.len() + body_bytes, b'b');
        request
    }
}

/// Returns the bytes that a client of a crowd sends, none of which is a whole sound request of its own that it
/// waits for.
pub fn draw_bad_bytes(rng: &mut fastrand::Rng) -> Vec<u8> {
    let head = |id: u64, extra: &str| {
        format!(
            "POST /pay HTTP/1.1\r\nX-Request-ID: bad{id}\r\nX-Priority-Class: pay\r\nX-Tenant-Id: acme\r\n\
             X-Timeout: 1000m\r\n{extra}\r\n"
        )
    };
    match rng.u32(0..6) {
        0 => {
            let mut request = head(rng.u64(..), "Content-Length: 65536\r\n").into_bytes();
            request.resize(request.len() + 65_000, b'x');
            request
        }
        1 => (0..200).flat_map(|_| head(rng.u64(..), "Content-Length: nonsense\r\n").into_bytes()).collect(),
        2 => (0..50_000).map(|_| rng.u8(..)).collect(),
        3 => {
            let fields: Vec<String> = (0..3_200).map(|number| format!("f{number}:v\r\n")).collect();
            head(rng.u64(..), &fields.concat()).into_bytes()
        }
        4 => head(rng.u64(..), "Transfer-Encoding: chunked\r\n").into_bytes(),
        _ => (0..300)
            .flat_map(|_| head(rng.u64(..), "Content-Length: 0\r\n").replace("1000m", "1m").into_bytes())
            .collect(),
    }
}
