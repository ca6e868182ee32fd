//! Tests of one client connection: socket options that cannot be set, read timeouts, shutdown and eviction.

use super::eviction::EvictionRank;
use super::time_limits::{CLOSE_TIMEOUT, MIN_SILENT_TIME, READ_TIMEOUT};
use super::*;
use crate::config::Config;
use crate::endpoint_list::EndpointList;
use crate::framing::Phase;
use crate::memory::{Purpose, Reservation};
use balancer_core::Settings;
use balancer_settings::{HostSettings, WireSettings};
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::pin::Pin;
use std::task::Poll;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::LocalSet;
use tokio::time::sleep;

const REQUEST: &[u8] = b"GET /read HTTP/1.1\r\nX-Request-ID: 1\r\nX-Priority-Class: read\r\n\
    X-Timeout: 900m\r\n\r\n";
const READINESS_REQUEST: &[u8] = b"GET /ready HTTP/1.1\r\n\r\n";
/// The time after which the runtime has noticed bytes that were sent to its sockets.
const SOCKET_POLL_TIME: Duration = Duration::from_millis(5);

/// Returns [`REQUEST`] with `end` in place of the end of its head.
fn request_ending_with(end: &str) -> Vec<u8> {
    [&REQUEST[..REQUEST.len() - 2], end.as_bytes()].concat()
}

/// Returns [`REQUEST`] with a head of over 10,000 bytes.
fn request_with_long_head() -> Vec<u8> {
    request_ending_with(&format!("X-Attrs: {}\r\n\r\n", "a".repeat(10_000)))
}

/// Wraps a Unix socket in a [`TcpStream`], on which setting a TCP option fails.
fn tcp_stream(socket: UnixStream) -> TcpStream {
    let stream = std::net::TcpStream::from(OwnedFd::from(socket));
    stream.set_nonblocking(true).expect("a non-blocking socket");
    TcpStream::from_std(stream).expect("a stream")
}

/// The two ends of a connection on which setting a TCP option fails.
struct SocketPair {
    agent_end: TcpStream,
    client_end: TcpStream,
}

impl SocketPair {
    fn without_tcp_options() -> Self {
        let (agent_end, client_end) = UnixStream::pair().expect("a pair");
        let duplicate = tcp_stream(agent_end.try_clone().expect("a clone"));
        assert!(duplicate.set_nodelay(true).is_err());
        SocketPair { agent_end: tcp_stream(agent_end), client_end: tcp_stream(client_end) }
    }
}

/// Starts a listener for an agent with the class `read` and no servers.
fn start_listener() -> Rc<Listener> {
    start_listener_with(MemoryBudget::for_process(32_000_000))
}

/// Starts a listener like [`start_listener`] that takes its memory from `memory`.
fn start_listener_with(memory: MemoryBudget) -> Rc<Listener> {
    let unused_address = SocketAddr::from(([127, 0, 0, 1], 0));
    let host_settings = HostSettings::from(&WireSettings::default());
    let config = Config {
        name: "agent".into(),
        listen_address: unused_address,
        discovery_address: unused_address,
        seed: 1,
        max_sockets: 100,
        max_memory_bytes: 32_000_000,
        settings: Settings::default(),
        host_settings: HostSettings { class_names: vec!["read".into()], ..host_settings },
        cached_endpoints: EndpointList::default(),
    };
    let driver = Driver::start(config, 10, memory.clone()).expect("a driver");
    Listener::new(driver, 10, Duration::from_secs(1), memory)
}

/// A client connection whose serving future is polled by the test, not by a task.
struct TestConnection {
    client: TcpStream,
    table_entry: Rc<ClientConnection>,
    serving: Pin<Box<dyn Future<Output = ()>>>,
}

impl TestConnection {
    /// Opens a client connection to the listener.
    fn open(listener: &Rc<Listener>) -> Self {
        let SocketPair { agent_end, client_end } = SocketPair::without_tcp_options();
        let slot = listener.connections.free_slot().expect("a slot");
        let table_entry = listener.connections.open(slot, Instant::now());
        let serving = Box::pin(listener.clone().serve_connection(agent_end, table_entry.clone()));
        TestConnection { client: client_end, table_entry, serving }
    }

    fn phase(&self) -> Phase {
        self.table_entry.state().phase()
    }

    /// Writes bytes to the client's end of the connection.
    async fn send(&mut self, bytes: &[u8]) {
        self.client.write_all(bytes).await.expect("the bytes are written");
    }

    /// Polls the serving future once. Returns whether the connection is still open.
    async fn poll_once(&mut self) -> bool {
        poll_fn(|cx| Poll::Ready(self.serving.as_mut().poll(cx).is_pending())).await
    }

    /// Polls the serving future for some time, in which the connection must stay open.
    async fn stay_open_for(&mut self, time: Duration) {
        tokio::select! {
            () = self.serving.as_mut() => panic!("the connection is closed"),
            () = sleep(time) => {}
        }
    }

    /// Reads a response, which the agent has written already.
    async fn response(&mut self) -> String {
        let mut response = [0; 512];
        let length = self.client.read(&mut response).await.expect("a response");
        String::from_utf8_lossy(&response[..length]).into_owned()
    }

    /// Polls the serving future, in which the connection must stay open, until the version and the status of a
    /// response have arrived.
    async fn response_start(&mut self) -> [u8; 12] {
        let mut response_start = [0; 12];
        tokio::select! {
            () = self.serving.as_mut() => panic!("the connection is closed"),
            read = self.client.read_exact(&mut response_start) => assert!(read.is_ok()),
        }
        response_start
    }

    /// Polls the serving future until the connection is in this phase.
    async fn reach(&mut self, phase: Phase) {
        while self.phase() != phase {
            assert!(self.poll_once().await);
            tokio::task::yield_now().await;
        }
    }
}

/// The agent cannot set `TCP_NODELAY` on a connection, but still responds over it.
#[tokio::test]
async fn a_client_gets_a_response_if_its_socket_options_cannot_be_set() {
    let scenario = async {
        let mut connection = TestConnection::open(&start_listener());
        connection.send(b"GET /ready HTTP/1.1\r\nhost: a\r\n\r\n").await;
        let mut response_start = [0; 12];

        tokio::select! {
            () = connection.serving.as_mut() => {}
            read = connection.client.read_exact(&mut response_start) => assert!(read.is_ok()),
        }

        assert_eq!(&response_start, b"HTTP/1.1 503");
    };
    LocalSet::new().run_until(scenario).await;
}

/// A request that arrives after the last response, when the agent has shut down its sending side, is neither
/// accepted nor responded to. Its client retries it over another connection. If the client does not close the
/// connection, the agent does.
#[tokio::test(start_paused = true)]
async fn a_request_after_the_last_response_is_not_accepted() {
    let scenario = async {
        let mut connection = TestConnection::open(&start_listener());
        connection.send(b"GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n").await;
        connection.reach(Phase::Closing).await;

        connection.send(REQUEST).await;
        let closing_since = Instant::now();
        connection.serving.as_mut().await;

        assert!(closing_since.elapsed() <= 2 * CLOSE_TIMEOUT);
        let mut responses = String::new();
        // The read would fail if the agent had closed its socket with unread bytes.
        connection.client.read_to_string(&mut responses).await.expect("the end of the stream");
        assert_eq!(responses.matches("HTTP/1.1 ").count(), 1, "{responses}");
        assert_eq!(connection.phase(), Phase::Closing);
    };
    LocalSet::new().run_until(scenario).await;
}

/// A request is received on an idle connection just before the connection's task is notified of a shutdown.
/// The task reads and accepts the request instead of closing the connection as idle.
#[tokio::test]
async fn a_request_received_before_the_shutdown_is_accepted() {
    let scenario = async {
        let listener = start_listener();
        let mut connection = TestConnection::open(&listener);
        connection.send(READINESS_REQUEST).await;
        connection.reach(Phase::Idle).await;

        connection.send(REQUEST).await;
        let now = Instant::now();
        let respond_by = now + Duration::from_secs(60);
        listener.shutdown.start(ShutdownSchedule { accept_until: now, respond_by });
        sleep(SOCKET_POLL_TIME).await;

        assert!(connection.poll_once().await, "the connection is closed");
        assert_eq!(connection.phase(), Phase::Processing);
    };
    LocalSet::new().run_until(scenario).await;
}

/// The read timeout of a connection's first request counts from the accept. It does not apply to a later
/// request, even if that request begins shortly before this timeout would expire.
#[tokio::test(start_paused = true)]
async fn a_later_request_has_a_read_timeout_of_its_own() {
    let scenario = async {
        let mut connection = TestConnection::open(&start_listener());
        connection.send(READINESS_REQUEST).await;
        connection.reach(Phase::Idle).await;
        connection.stay_open_for(READ_TIMEOUT.mul_f64(0.98)).await;

        let (first_half, second_half) = REQUEST.split_at(REQUEST.len() / 2);
        connection.send(first_half).await;
        connection.stay_open_for(READ_TIMEOUT / 2).await;
        connection.send(second_half).await;

        connection.reach(Phase::Processing).await;
    };
    LocalSet::new().run_until(scenario).await;
}

/// The eviction of a silent connection is requested, and the first request is received before the
/// connection's task runs. The task then ignores the eviction.
#[tokio::test]
async fn a_connection_that_receives_a_request_before_its_eviction_stays_open() {
    let scenario = async {
        let mut connection = TestConnection::open(&start_listener());
        assert!(connection.poll_once().await);

        connection.send(REQUEST).await;
        connection.table_entry.request_eviction();
        sleep(SOCKET_POLL_TIME).await;

        assert!(connection.poll_once().await, "the connection is closed");
        assert_eq!(connection.phase(), Phase::Processing);
    };
    LocalSet::new().run_until(scenario).await;
}

/// Guards against a request with a long head that waits for memory while other clients hold it, and gets no
/// response in time. It is rejected in good order, although its client still sends.
#[tokio::test(start_paused = true)]
async fn a_long_head_without_memory_is_rejected_at_once() {
    let scenario = async {
        let memory = MemoryBudget::for_process(32_000_000);
        let mut connection = TestConnection::open(&start_listener_with(memory.clone()));
        let _heads = fill(&memory, Purpose::ReceiveBuffer, 4 << 10);
        let request = request_with_long_head();
        let (first_part, second_part) = request.split_at(5_000);
        connection.send(first_part).await;
        let sent_at = Instant::now();

        assert_eq!(&connection.response_start().await, b"HTTP/1.1 429");
        assert!(sent_at.elapsed() <= SOCKET_POLL_TIME, "{:?}", sent_at.elapsed());
        connection.send(second_part).await;
        connection.serving.as_mut().await;
        let mut rest = String::new();
        connection.client.read_to_string(&mut rest).await.expect("the end of the stream");
        assert!(rest.ends_with("refused; trying again is harmless\n"), "{rest}");
    };
    LocalSet::new().run_until(scenario).await;
}

/// Reserves memory in blocks of this size until none is granted.
fn fill(memory: &MemoryBudget, purpose: Purpose, bytes: usize) -> Vec<Reservation> {
    std::iter::from_fn(|| memory.try_reserve(purpose, bytes)).collect()
}

/// Guards against a small request that is not read, because other clients hold the memory of long messages
/// and its head or a line of its body arrives in pieces, or which is rejected because its length is not
/// stated.
#[tokio::test]
async fn a_small_request_in_pieces_is_read_beside_clients_that_hold_all_memory_of_long_messages() {
    let chunked_request = request_ending_with("Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
    for (request, piece_size) in [(REQUEST, 60), (REQUEST, 1), (&chunked_request, 60), (&chunked_request, 1)]
    {
        let scenario = async {
            let memory = MemoryBudget::for_process(32_000_000);
            let mut connection = TestConnection::open(&start_listener_with(memory.clone()));
            let _bodies = fill(&memory, Purpose::Request, 64 << 10);
            let _heads = fill(&memory, Purpose::ReceiveBuffer, 4 << 10);

            for piece in request.chunks(piece_size) {
                connection.send(piece).await;
                connection.stay_open_for(SOCKET_POLL_TIME).await;
            }

            assert_eq!(connection.phase(), Phase::Processing, "in pieces of {piece_size} bytes");
        };
        LocalSet::new().run_until(scenario).await;
    }
}

/// Guards against a request with a long head that waits for the memory of long messages, which clients that
/// stop within their bodies hold. It is read and rejected, since there is no memory to forward it.
#[tokio::test]
async fn a_long_head_is_read_beside_clients_that_hold_all_memory_of_long_messages() {
    let scenario = async {
        let memory = MemoryBudget::for_process(32_000_000);
        let mut connection = TestConnection::open(&start_listener_with(memory.clone()));
        let _bodies = fill(&memory, Purpose::Request, 64 << 10);
        let _responses = fill(&memory, Purpose::Response, 64 << 10);
        let request = request_with_long_head();

        for piece in request.chunks(3_000) {
            connection.send(piece).await;
            connection.stay_open_for(SOCKET_POLL_TIME).await;
        }

        assert_eq!(connection.phase(), Phase::Closing);
        assert!(connection.response().await.starts_with("HTTP/1.1 429 "));
    };
    LocalSet::new().run_until(scenario).await;
}

/// Guards against requests that are not read in time because other clients have stopped within theirs and
/// hold all slots until the read timeout. Such clients are rejected to make room.
#[tokio::test(start_paused = true)]
async fn clients_that_stop_within_a_request_make_room_for_others() {
    let body_request = request_ending_with("Content-Length: 10\r\n\r\nbody");
    let chunked_request = request_ending_with("Transfer-Encoding: chunked\r\n\r\n9\r\nbody");
    for partial_request in [&REQUEST[..1], &REQUEST[..REQUEST.len() - 2], &body_request, &chunked_request] {
        let scenario = async {
            let listener = start_listener();
            let mut clients = Vec::new();
            while let Some(slot) = listener.connections.free_slot() {
                let SocketPair { agent_end, mut client_end } = SocketPair::without_tcp_options();
                spawn_local(
                    listener
                        .clone()
                        .run_connection(agent_end, listener.connections.open(slot, Instant::now())),
                );
                client_end.write_all(partial_request).await.expect("the bytes are written");
                clients.push(client_end);
            }
            sleep(SOCKET_POLL_TIME).await;
            let asked_at = Instant::now();

            let slot = listener.connections.wait_for_slot(|| false).await;

            assert!(asked_at.elapsed() <= 2 * MIN_SILENT_TIME, "{:?}", asked_at.elapsed());
            drop(slot);
            let mut response = String::new();
            let evicted = &mut clients[0];
            // The connection is closed after the response, in good order.
            evicted.read_to_string(&mut response).await.expect("a response and the end of the stream");
            assert!(response.starts_with("HTTP/1.1 429 "), "{response}");
            assert!(response.ends_with("\r\n\r\nrefused; trying again is harmless\n"), "{response}");
        };
        LocalSet::new().run_until(scenario).await;
    }
}

/// Guards against a request that is rejected although its last byte has arrived before its eviction.
#[tokio::test]
async fn a_stalled_request_that_becomes_complete_before_its_eviction_is_served() {
    let scenario = async {
        let mut connection = TestConnection::open(&start_listener());
        let (first_half, second_half) = REQUEST.split_at(REQUEST.len() / 2);
        connection.send(first_half).await;
        connection.stay_open_for(2 * MIN_SILENT_TIME).await;
        assert!(EvictionRank::of(connection.table_entry.state()).is_some());

        connection.table_entry.request_eviction();
        connection.send(second_half).await;

        connection.reach(Phase::Processing).await;
        assert!(connection.poll_once().await, "the connection is closed");
    };
    LocalSet::new().run_until(scenario).await;
}

/// Guards against a connection that is closed without a response although a request has been read in part.
#[tokio::test(start_paused = true)]
async fn a_request_that_does_not_become_complete_in_time_gets_a_response() {
    let scenario = async {
        let mut connection = TestConnection::open(&start_listener());
        let accepted_at = Instant::now();
        connection.send(&REQUEST[..REQUEST.len() - 2]).await;

        assert_eq!(&connection.response_start().await, b"HTTP/1.1 408");
        assert!(accepted_at.elapsed() <= READ_TIMEOUT + SOCKET_POLL_TIME, "{:?}", accepted_at.elapsed());
        connection.serving.as_mut().await;
        assert!(accepted_at.elapsed() <= READ_TIMEOUT + CLOSE_TIMEOUT + SOCKET_POLL_TIME);
    };
    LocalSet::new().run_until(scenario).await;
}

/// A chunked body that turns out to be long, for which there is no memory, is read to its end and rejected.
#[tokio::test(start_paused = true)]
async fn a_long_body_of_unknown_size_without_memory_is_rejected_once_it_is_complete() {
    let scenario = async {
        let memory = MemoryBudget::for_process(32_000_000);
        let mut connection = TestConnection::open(&start_listener_with(memory.clone()));
        let _bodies = fill(&memory, Purpose::Request, 64 << 10);
        connection.send(&request_ending_with("Transfer-Encoding: chunked\r\n\r\n")).await;
        for _ in 0..3 {
            connection.send(&[b"4e20\r\n", vec![b'b'; 20_000].as_slice(), b"\r\n"].concat()).await;
            connection.stay_open_for(SOCKET_POLL_TIME).await;
            assert_eq!(connection.phase(), Phase::Receiving);
        }
        connection.send(b"0\r\n\r\n").await;
        connection.reach(Phase::Closing).await;

        assert!(connection.response().await.starts_with("HTTP/1.1 429 "));
    };
    LocalSet::new().run_until(scenario).await;
}

/// A client that still sends when its connection is closed sees a reset instead of its response.
#[tokio::test(start_paused = true)]
async fn a_request_without_memory_is_rejected_once_it_is_complete() {
    let scenario = async {
        let memory = MemoryBudget::with_capacity(64 << 10);
        let mut connection = TestConnection::open(&start_listener_with(memory));
        let body = vec![b'b'; 60_000];
        connection.send(&request_ending_with("Content-Length: 60000\r\n\r\n")).await;
        for part in body.chunks(20_000) {
            connection.stay_open_for(CLOSE_TIMEOUT + SOCKET_POLL_TIME).await;
            assert_eq!(connection.phase(), Phase::Receiving);
            connection.send(part).await;
        }
        connection.reach(Phase::Closing).await;

        assert!(connection.response().await.starts_with("HTTP/1.1 429 "));
    };
    LocalSet::new().run_until(scenario).await;
}
