//! Graceful shutdown: every request that is open at SIGTERM, and every one that still arrives, is answered
//! before the agent exits.

mod common;
use common::agent::Agent;
use common::client::Client;
use common::config::{AgentConfig, RequestClass};
use common::messages::{get_request, ok_response, post_request, read_message, Message};
use common::server::{ServerReply, TestServer};
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

/// After SIGTERM: idle connections are closed, what is in flight is answered, connections that come late are
/// still accepted, each response says that it is the last, and the agent exits by itself.
#[tokio::test]
async fn requests_in_flight_and_late_requests_are_answered() {
    let other_reply = ServerReply::KeepOpen(ok_response("x"));
    let (mut server, gate) = TestServer::holding_payments(ok_response("x"), other_reply).await;
    let (_discovery, mut agent) = start_agent(server.address).await;
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

/// A client as clients really behave: it uses the connection it has, opens new ones for a while after
/// SIGTERM, and sends once more what crossed the closing of an idle one.
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
        within_time_limit("a response or the end", read_message(stream, 0)).await
    }

    async fn exchange_over_new_connection(&mut self, request: &str) -> Option<Message> {
        let mut stream = TcpStream::connect(self.agent).await.expect("still accepted");
        let _ = stream.write_all(request.as_bytes()).await;
        let response = within_time_limit("a response", read_message(&mut stream, 0)).await;
        self.kept_connection = Some(stream);
        response
    }
}

/// A shutdown in the midst of traffic. Nothing may be lost.
#[tokio::test]
async fn no_request_is_lost_under_load() {
    const CLIENTS: usize = 16;
    let server = TestServer::responding_with("x").await;
    let (_discovery, mut agent) = start_agent(server.address).await;
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
        within_time_limit("a client's end", client).await.expect("nothing lost");
    }
    // How much depends on the machine: clients come for 0.3 s.
    assert!(served_requests.load(Ordering::SeqCst) > served_before, "no traffic after SIGTERM");
    assert!(agent.wait_for_exit().await.success());
}

/// The agent has no room for a further connection, and the requests of all are open. What waits in the
/// listener's queue when the time for new connections is over is accepted and answered once there is room.
#[tokio::test]
async fn connections_in_the_accept_queue_are_accepted_and_answered() {
    let other_reply = ServerReply::KeepOpen(ok_response("x"));
    let (mut server, gate) = TestServer::holding_payments(ok_response("x"), other_reply).await;
    let (_discovery, mut agent) = start_configured_agent(server.address, |config| {
        let config = config.with_long_deadlines().with_socket_limit(FEW_SOCKETS);
        // With this objective they are queued for long.
        config.with_latency_objective_ms(RequestClass::Read, 30_000)
    })
    .await;
    let mut clients = Vec::new();
    for _ in 0..2 {
        clients.push(agent.send_request(&post_request("/pay", "60000m", "b")).await);
        server.next_request().await;
    }
    // 26 are queued, for the server is at its estimated capacity, and 4 are not accepted yet.
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

/// Clients may wait longer than SIGKILL does. What hangs then is answered as failed before it comes.
#[tokio::test]
async fn requests_that_outlast_the_shutdown_period_get_a_504() {
    let mut server = TestServer::start(|_| ServerReply::Silent).await;
    let (_discovery, mut agent) =
        start_configured_agent(server.address, AgentConfig::with_long_deadlines).await;
    let mut early = agent.send_request(&post_request("/pay", "60000m", "b")).await;
    server.next_request().await;

    let signalled = Instant::now();
    agent.send_sigterm().await;
    let mut late = agent.send_request(&post_request("/pay", "60000m", "b")).await;
    server.next_request().await;

    for client in [&mut early, &mut late] {
        assert_eq!(client.receive().await.status(), 504);
        client.wait_for_close().await;
    }
    // 3.65 s with some room for a machine under load; the deadlines are 60 s.
    assert!(signalled.elapsed() < Duration::from_secs(15), "{:?}", signalled.elapsed());
    assert!(agent.wait_for_exit().await.success());
}

/// A request of which a part has been sent.
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

/// A connection that has sent nothing, one with half a head and one with half a body when SIGTERM comes: each
/// request that becomes whole is answered, after a second SIGTERM too.
#[tokio::test]
async fn requests_completed_after_the_signal_are_answered() {
    let server = TestServer::responding_with("x").await;
    let (_discovery, mut agent) =
        start_configured_agent(server.address, AgentConfig::with_long_deadlines).await;
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

/// Nothing keeps the agent from its exit for long: neither silent connections nor idle ones.
#[tokio::test]
async fn silent_and_idle_connections_do_not_delay_the_exit() {
    let server = TestServer::responding_with("x").await;
    let (_discovery, mut agent) =
        start_configured_agent(server.address, AgentConfig::with_long_deadlines).await;
    let mut silent = agent.connect().await;
    let mut idle = agent.connect().await;
    assert_eq!(idle.exchange(&get_request("/read", "60000m")).await.status(), 200);

    let signalled = Instant::now();
    agent.send_sigterm().await;

    idle.wait_for_close().await;
    assert!(agent.wait_for_exit().await.success());
    silent.wait_for_close().await;
    assert!(signalled.elapsed() >= Duration::from_millis(600), "new connections are accepted for a while");
}
