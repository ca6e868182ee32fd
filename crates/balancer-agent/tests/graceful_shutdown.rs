//! Tests of the graceful shutdown. Before the agent exits, it responds to the requests that are open at
//! SIGTERM and to those that arrive later.

mod common;
use common::agent::Agent;
use common::client::Client;
use common::config::{AgentConfig, RequestClass};
use common::messages::{get_request, ok_response, post_request, read_message, Message};
use common::server::{ResponseGate, ServerReply, TestServer};
use common::setup::{start_agent, start_configured_agent, DELAY_PAST_ACCEPT_PERIOD, LOW_SOCKET_LIMIT};
use common::within_time_limit;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::sleep;

/// After SIGTERM, the agent closes idle connections, completes requests in flight and still accepts new
/// connections. Each response has a `Connection: close` header, and the agent exits by itself.
#[tokio::test]
async fn requests_in_flight_and_late_requests_are_served() {
    let other_reply = ServerReply::KeepOpen(ok_response("x"));
    let gate = ResponseGate::default();
    let mut server = TestServer::holding_payments(&gate, ok_response("x"), other_reply).await;
    let mut agent = start_agent(server.address).await;
    let mut idle_client = agent.connect().await;
    assert_eq!(idle_client.exchange(&get_request("/read", "2000m")).await.status(), 200);
    server.next_request().await;
    let mut waiting_client = agent.send_request(&post_request("/pay", "2400m", "b")).await;
    server.next_request().await;

    agent.send_sigterm().await;

    idle_client.wait_for_close().await;
    let mut late_client = agent.connect().await;
    let response = late_client.exchange(&get_request("/read", "2000m")).await;
    assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
    late_client.wait_for_close().await;
    assert_eq!(agent.readiness_status().await, 503);
    gate.release_one();
    let response = waiting_client.receive().await;
    assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
    assert!(agent.wait_for_exit().await.success());
}

/// A client that behaves like the clients of a deployed agent.
///
/// The client reuses its connection, opens new connections for a while after SIGTERM, and retries a request
/// once if the connection is closed without a response.
struct LoadClient {
    agent_address: SocketAddr,
    /// The connection to reuse for the next request.
    kept_connection: Option<TcpStream>,
    /// The time when SIGTERM was sent; `None` before.
    sigterm_time: watch::Receiver<Option<Instant>>,
    /// The number of requests that all clients together have been served.
    served_requests: Arc<AtomicUsize>,
}

impl LoadClient {
    /// Sends requests one after another until the client may open no more connections and needs one.
    async fn run(mut self) {
        loop {
            let request = get_request("/read", "2000m");
            let can_connect = self.can_connect();
            let mut response = self.exchange_over_kept_connection(&request).await;
            if response.is_none() {
                if !can_connect {
                    return;
                }
                response = self.exchange_over_new_connection(&request).await;
            }
            let response = response.expect("each request should get a response");
            assert_eq!(response.status(), 200);
            self.served_requests.fetch_add(1, Ordering::SeqCst);
            if response.header("connection") == Some("close") {
                self.kept_connection = None;
            }
        }
    }

    /// Returns whether the client may open a new connection: always before SIGTERM, and for 0.3 s after it.
    fn can_connect(&self) -> bool {
        self.sigterm_time.borrow().is_none_or(|time| time.elapsed() < Duration::from_millis(300))
    }

    /// Sends a request over the kept connection and returns the response. Returns `None` if no connection is
    /// kept, or if the agent closes the connection without a response.
    async fn exchange_over_kept_connection(&mut self, request: &str) -> Option<Message> {
        let stream = self.kept_connection.as_mut()?;
        let _ = stream.write_all(request.as_bytes()).await;
        within_time_limit("a response or a close", read_message(stream, 0)).await
    }

    /// Sends a request over a new connection, which is then kept, and returns the response.
    async fn exchange_over_new_connection(&mut self, request: &str) -> Option<Message> {
        let mut stream =
            TcpStream::connect(self.agent_address).await.expect("the agent should accept the connection");
        let _ = stream.write_all(request.as_bytes()).await;
        let response = within_time_limit("a response", read_message(&mut stream, 0)).await;
        self.kept_connection = Some(stream);
        response
    }
}

/// A shutdown under load loses no request.
#[tokio::test]
async fn no_request_is_lost_under_load() {
    const CLIENT_COUNT: usize = 16;
    let server = TestServer::responding_with("x").await;
    let mut agent = start_agent(server.address).await;
    let sigterm_time = watch::Sender::new(None);
    let served_requests = Arc::new(AtomicUsize::new(0));
    let clients = [(); CLIENT_COUNT].map(|()| {
        let client = LoadClient {
            agent_address: agent.address,
            kept_connection: None,
            sigterm_time: sigterm_time.subscribe(),
            served_requests: served_requests.clone(),
        };
        tokio::spawn(client.run())
    });
    within_time_limit("the first served requests", async {
        while served_requests.load(Ordering::SeqCst) < 10 * CLIENT_COUNT {
            tokio::task::yield_now().await;
        }
    })
    .await;

    agent.send_sigterm().await;
    let served_before = served_requests.load(Ordering::SeqCst);
    sigterm_time.send_replace(Some(Instant::now()));

    for client in clients {
        within_time_limit("the end of a client's task", client)
            .await
            .expect("the client should lose no request");
    }
    // Clients open connections for another 0.3 s. The number of requests in this time depends on the machine.
    assert!(served_requests.load(Ordering::SeqCst) > served_before, "no request was served after SIGTERM");
    assert!(agent.wait_for_exit().await.success());
}

/// All connection slots are in use by connections with open requests when the agent stops waiting for new
/// connections. Connections that are in the accept queue then are accepted once slots are free, and get
/// responses.
#[tokio::test]
async fn connections_in_the_accept_queue_are_accepted_and_get_responses() {
    let other_reply = ServerReply::KeepOpen(ok_response("x"));
    let gate = ResponseGate::default();
    let mut server = TestServer::holding_payments(&gate, ok_response("x"), other_reply).await;
    let mut agent = start_configured_agent(server.address, |config| {
        let config = config.with_long_timeouts().with_socket_limit(LOW_SOCKET_LIMIT);
        // With this long latency objective, `read` requests can stay queued for a long time.
        config.with_latency_objective_ms(RequestClass::Read, 30_000)
    })
    .await;
    let mut clients = Vec::new();
    for _ in 0..2 {
        clients.push(agent.send_request(&post_request("/pay", "60000m", "b")).await);
        server.next_request().await;
    }
    // The server is at its estimated capacity, so 26 requests are queued. 4 connections are not accepted yet.
    for _ in 0..26 + 4 {
        clients.push(agent.send_request(&get_request("/read", "60000m")).await);
    }

    agent.send_sigterm().await;
    sleep(DELAY_PAST_ACCEPT_PERIOD).await;
    gate.release_one();
    gate.release_one();

    for client in &mut clients {
        let response = client.receive().await;
        assert!(matches!(response.status(), 200 | 429), "unexpected status {}", response.status());
        assert_eq!(response.header("connection"), Some("close"));
    }
    assert!(agent.wait_for_exit().await.success());
}

/// Requests may have deadlines after the time at which the platform sends SIGKILL. The agent responds to all
/// requests that are still open with a 504 before that time.
#[tokio::test]
async fn requests_that_outlast_the_shutdown_period_get_a_504() {
    let mut server = TestServer::start(|_| ServerReply::Silent).await;
    let mut agent = start_configured_agent(server.address, AgentConfig::with_long_timeouts).await;
    let mut early_client = agent.send_request(&post_request("/pay", "60000m", "b")).await;
    server.next_request().await;

    let sigterm_at = Instant::now();
    agent.send_sigterm().await;
    let mut late_client = agent.send_request(&post_request("/pay", "60000m", "b")).await;
    server.next_request().await;

    for client in [&mut early_client, &mut late_client] {
        assert_eq!(client.receive().await.status(), 504);
        client.wait_for_close().await;
    }
    // The responses come after 3.65 s, or later on a busy machine. The timeouts of the requests are 60 s.
    assert!(sigterm_at.elapsed() < Duration::from_secs(15), "the responses took {:?}", sigterm_at.elapsed());
    assert!(agent.wait_for_exit().await.success());
}

/// A request of which a client has sent only the first bytes.
struct PartialRequest {
    client: Client,
    sent_bytes: usize,
    /// The part of the request that has not been sent.
    rest: String,
}

impl PartialRequest {
    /// Sends the first `sent_bytes` of a request over a new connection.
    async fn send(agent: &Agent, request: &str, sent_bytes: usize) -> Self {
        let (sent_part, rest) = request.split_at(sent_bytes);
        PartialRequest { client: agent.send_request(sent_part).await, sent_bytes, rest: rest.to_owned() }
    }
}

/// At SIGTERM, one client has sent nothing, one has sent a part of a head, and one has sent a part of a body.
/// Each request is completed and served, even after another SIGTERM.
#[tokio::test]
async fn requests_completed_after_sigterm_are_served() {
    let server = TestServer::responding_with("x").await;
    let mut agent = start_configured_agent(server.address, AgentConfig::with_long_timeouts).await;
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
        let status_and_connection = (response.status(), response.header("connection"));
        assert_eq!(
            status_and_connection,
            (200, Some("close")),
            "{sent_bytes} bytes were sent before SIGTERM"
        );
        client.wait_for_close().await;
    }
    assert!(agent.wait_for_exit().await.success());
}

/// The agent exits soon after SIGTERM even if silent and idle connections are open.
#[tokio::test]
async fn silent_and_idle_connections_do_not_delay_the_exit() {
    let server = TestServer::responding_with("x").await;
    let mut agent = start_configured_agent(server.address, AgentConfig::with_long_timeouts).await;
    let mut silent_client = agent.connect().await;
    let mut idle_client = agent.connect().await;
    assert_eq!(idle_client.exchange(&get_request("/read", "60000m")).await.status(), 200);

    let sigterm_at = Instant::now();
    agent.send_sigterm().await;

    idle_client.wait_for_close().await;
    assert!(agent.wait_for_exit().await.success());
    silent_client.wait_for_close().await;
    assert!(
        sigterm_at.elapsed() >= Duration::from_millis(600),
        "the agent stopped accepting connections too early"
    );
}
