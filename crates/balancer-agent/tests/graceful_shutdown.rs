//! Graceful shutdown: requests that are open at SIGTERM, and those that still arrive, are answered before the
//! agent exits.

mod common;
use common::agent::Agent;
use common::client::Client;
use common::config::{AgentConfig, RequestClass};
use common::messages::{get_request, ok_response, post_request, read_message, Message};
use common::server::{ResponseGate, ServerReply, TestServer};
use common::setup::{start_agent, start_configured_agent, AFTER_LAST_ACCEPT, FEW_SOCKETS};
use common::within_time_limit;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::sleep;

/// After SIGTERM idle connections are closed, requests in flight are answered, new connections are still
/// accepted, each response announces the close of its connection, and the agent exits by itself.
#[tokio::test]
async fn requests_in_flight_and_late_requests_are_answered() {
    let other_reply = ServerReply::KeepOpen(ok_response("x"));
    let gate = ResponseGate::default();
    let mut server = TestServer::holding_payments(&gate, ok_response("x"), other_reply).await;
    let mut agent = start_agent(server.address).await;
    let mut idle = agent.connect().await;
    assert_eq!(idle.exchange(&get_request("/read", "2000m")).await.status(), 200);
    server.next_request().await;
    let mut in_flight = agent.send_request(&post_request("/pay", "2400m", "b")).await;
    server.next_request().await;

    agent.send_sigterm().await;

    idle.wait_for_close().await;
    let mut late = agent.connect().await;
    let response = late.exchange(&get_request("/read", "2000m")).await;
    assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
    late.wait_for_close().await;
    assert_eq!(agent.readiness_status().await, 503);
    gate.release_one();
    let response = in_flight.receive().await;
    assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
    assert!(agent.wait_for_exit().await.success());
}

/// A client that behaves as the platform's do: it reuses its connection, opens new ones for a while after
/// SIGTERM, and retries a request once if its connection was closed without a response.
struct LoadClient {
    agent: SocketAddr,
    kept_connection: Option<TcpStream>,
    sigterm_time: watch::Receiver<Option<Instant>>,
    served: Arc<AtomicUsize>,
}

impl LoadClient {
    async fn run(mut self) {
        loop {
            let request = get_request("/read", "2000m");
            let may_connect = self.may_connect();
            let mut response = self.exchange_over_kept_connection(&request).await;
            if response.is_none() {
                if !may_connect {
                    return;
                }
                response = self.exchange_over_new_connection(&request).await;
            }
            let response = response.expect("a request was lost");
            assert_eq!(response.status(), 200);
            self.served.fetch_add(1, Ordering::SeqCst);
            if response.header("connection") == Some("close") {
                self.kept_connection = None;
            }
        }
    }

    fn may_connect(&self) -> bool {
        self.sigterm_time.borrow().is_none_or(|time| time.elapsed() < Duration::from_millis(300))
    }

    async fn exchange_over_kept_connection(&mut self, request: &str) -> Option<Message> {
        let stream = self.kept_connection.as_mut()?;
        let _ = stream.write_all(request.as_bytes()).await;
        within_time_limit("a response or a close", read_message(stream, 0)).await
    }

    async fn exchange_over_new_connection(&mut self, request: &str) -> Option<Message> {
        let mut stream = TcpStream::connect(self.agent).await.expect("the connection is accepted");
        let _ = stream.write_all(request.as_bytes()).await;
        let response = within_time_limit("a response", read_message(&mut stream, 0)).await;
        self.kept_connection = Some(stream);
        response
    }
}

/// A shutdown under load loses no request.
#[tokio::test]
async fn no_request_is_lost_under_load() {
    const CLIENTS: usize = 16;
    let server = TestServer::responding_with("x").await;
    let mut agent = start_agent(server.address).await;
    let sigterm_time = watch::Sender::new(None);
    let served_requests = Arc::new(AtomicUsize::new(0));
    let clients = [(); CLIENTS].map(|()| {
        let client = LoadClient {
            agent: agent.address,
            kept_connection: None,
            sigterm_time: sigterm_time.subscribe(),
            served: served_requests.clone(),
        };
        tokio::spawn(client.run())
    });
    within_time_limit("traffic", async {
        while served_requests.load(Ordering::SeqCst) < 10 * CLIENTS {
            tokio::task::yield_now().await;
        }
    })
    .await;

    agent.send_sigterm().await;
    let served_before = served_requests.load(Ordering::SeqCst);
    sigterm_time.send_replace(Some(Instant::now()));

    for client in clients {
        within_time_limit("the end of a client", client).await.expect("no request was lost");
    }
    // How many depends on the machine; clients open connections for another 0.3 s.
    assert!(served_requests.load(Ordering::SeqCst) > served_before, "no traffic after SIGTERM");
    assert!(agent.wait_for_exit().await.success());
}

/// All slots are in use by connections with open requests. Connections that are in the accept queue when the
/// time for new connections ends are accepted and answered once slots are free.
#[tokio::test]
async fn connections_in_the_accept_queue_are_accepted_and_answered() {
    let other_reply = ServerReply::KeepOpen(ok_response("x"));
    let gate = ResponseGate::default();
    let mut server = TestServer::holding_payments(&gate, ok_response("x"), other_reply).await;
    let mut agent = start_configured_agent(server.address, |config| {
        let config = config.with_long_deadlines().with_socket_limit(FEW_SOCKETS);
        // With this objective, reads stay queued for long.
        config.with_latency_objective_ms(RequestClass::Read, 30_000)
    })
    .await;
    let mut clients = Vec::new();
    for _ in 0..2 {
        clients.push(agent.send_request(&post_request("/pay", "60000m", "b")).await);
        server.next_request().await;
    }
    // 26 requests are queued, as the server is at its estimated capacity; 4 connections are not accepted yet.
    for _ in 0..26 + 4 {
        clients.push(agent.send_request(&get_request("/read", "60000m")).await);
    }

    agent.send_sigterm().await;
    sleep(AFTER_LAST_ACCEPT).await;
    gate.release_one();
    gate.release_one();

    for client in &mut clients {
        let response = client.receive().await;
        assert!(matches!(response.status(), 200 | 429), "{}", response.status());
        assert_eq!(response.header("connection"), Some("close"));
    }
    assert!(agent.wait_for_exit().await.success());
}

/// Clients may wait for longer than the platform waits with SIGKILL. Requests that are still open then are
/// answered as failed before.
#[tokio::test]
async fn requests_that_outlast_the_shutdown_period_get_a_504() {
    let mut server = TestServer::start(|_| ServerReply::Silent).await;
    let mut agent = start_configured_agent(server.address, AgentConfig::with_long_deadlines).await;
    let mut early = agent.send_request(&post_request("/pay", "60000m", "b")).await;
    server.next_request().await;

    let signalled_at = Instant::now();
    agent.send_sigterm().await;
    let mut late = agent.send_request(&post_request("/pay", "60000m", "b")).await;
    server.next_request().await;

    for client in [&mut early, &mut late] {
        assert_eq!(client.receive().await.status(), 504);
        client.wait_for_close().await;
    }
    // This takes 3.65 s, and longer on a busy machine; the deadlines are 60 s.
    assert!(signalled_at.elapsed() < Duration::from_secs(15), "{:?}", signalled_at.elapsed());
    assert!(agent.wait_for_exit().await.success());
}

/// A request that has been sent in part.
struct PartialRequest {
    client: Client,
    sent_bytes: usize,
    rest: String,
}

impl PartialRequest {
    async fn send(agent: &Agent, request: &str, sent_bytes: usize) -> Self {
        let (part, rest) = request.split_at(sent_bytes);
        PartialRequest { client: agent.send_request(part).await, sent_bytes, rest: rest.to_owned() }
    }
}

/// At SIGTERM one connection has sent nothing, one half a head and one half a body. Each request is completed
/// and answered, after a second SIGTERM as well.
#[tokio::test]
async fn requests_completed_after_the_signal_are_answered() {
    let server = TestServer::responding_with("x").await;
    let mut agent = start_configured_agent(server.address, AgentConfig::with_long_deadlines).await;
    let requests = [(); 3].map(|()| post_request("/pay", "60000m", "the body"));
    let mut partial_requests = [
        PartialRequest::send(&agent, &requests[0], 0).await,
        PartialRequest::send(&agent, &requests[1], 40).await,
        PartialRequest::send(&agent, &requests[2], requests[2].len() - 3).await,
    ];
    agent.wait_until_ready().await;

    agent.send_sigterm().await;

    for PartialRequest { client, sent_bytes, rest } in &mut partial_requests {
        agent.send_sigterm().await;
        let response = client.exchange(rest).await;
        let close = (response.status(), response.header("connection"));
        assert_eq!(close, (200, Some("close")), "{sent_bytes}");
        client.wait_for_close().await;
    }
    assert!(agent.wait_for_exit().await.success());
}

/// The agent exits soon although silent and idle connections are open.
#[tokio::test]
async fn silent_and_idle_connections_do_not_delay_the_exit() {
    let server = TestServer::responding_with("x").await;
    let mut agent = start_configured_agent(server.address, AgentConfig::with_long_deadlines).await;
    let mut silent = agent.connect().await;
    let mut idle = agent.connect().await;
    assert_eq!(idle.exchange(&get_request("/read", "60000m")).await.status(), 200);

    let signalled_at = Instant::now();
    agent.send_sigterm().await;

    idle.wait_for_close().await;
    assert!(agent.wait_for_exit().await.success());
    silent.wait_for_close().await;
    assert!(signalled_at.elapsed() >= Duration::from_millis(600), "new connections are accepted for a while");
}
