//! Tests of clients that disconnect while their requests are open. The agent completes attempts that have
//! been sent, and cancels those that have not.

mod common;
use common::agent::Agent;
use common::client::Client;
use common::kernel::wait_for_connect_in_progress;
use common::messages::{
    chunked_post_request, get_request, ok_response, post_request, read_message, NOT_PROCESSED_503,
};
use common::server::{ResponseGate, ServerReply, TestServer};
use common::setup::{start_agent, start_configured_agent};
use common::sockets::FullBacklogListener;
use common::within_time_limit;
use std::time::Duration;
use tokio::io::AsyncWriteExt;

/// How a client disconnects, and how many excess bytes the client sends before.
#[derive(Clone, Copy)]
struct Disconnect {
    description: &'static str,
    excess_bytes: usize,
    /// Whether the client resets the connection instead of closing it.
    is_reset: bool,
}

/// All ways to disconnect that the tests cover.
const DISCONNECTS: [Disconnect; 6] = [
    Disconnect { description: "a close", excess_bytes: 0, is_reset: false },
    Disconnect { description: "a reset", excess_bytes: 0, is_reset: true },
    Disconnect { description: "a close after a few bytes", excess_bytes: 5, is_reset: false },
    Disconnect { description: "a reset after a few bytes", excess_bytes: 5, is_reset: true },
    Disconnect { description: "a close after a burst", excess_bytes: 200 << 10, is_reset: false },
    Disconnect { description: "a reset after a burst", excess_bytes: 200 << 10, is_reset: true },
];

impl Disconnect {
    /// Disconnects the client, and returns once the agent has handled the disconnect.
    async fn apply(self, agent: &Agent, mut client: Client) {
        let Disconnect { description, excess_bytes, is_reset } = self;
        let written = client.stream.write_all(&vec![b'x'; excess_bytes]).await;
        written.unwrap_or_else(|error| panic!("{description}: cannot write the excess bytes: {error}"));
        if is_reset {
            client.stream.set_zero_linger().expect("the socket option should be set");
            drop(client);
        } else {
            client.stream.shutdown().await.expect("the client should shut down its write half");
            client.wait_for_close().await;
        }
        // The agent has one thread, so it handles this request after the disconnect.
        assert_eq!(agent.readiness_status().await, 200, "{description}");
    }
}

/// An attempt in flight is completed after its client has disconnected, and the server connection is reused.
#[tokio::test]
async fn an_attempt_in_flight_completes_and_its_connection_is_reused() {
    // The server closes other connections after one response, so only the first connection can be reused.
    let closing_response = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n".to_vec();
    let gate = ResponseGate::default();
    let mut server =
        TestServer::holding_payments(&gate, ok_response("x"), ServerReply::KeepOpen(closing_response)).await;
    let agent = start_agent(server.address).await;
    let mut client = agent.send_request(&post_request("/pay", "2000m", "b")).await;
    assert_eq!(server.next_request().await.connection, 0);

    client.stream.shutdown().await.expect("the client should shut down its write half");
    client.wait_for_close().await;
    gate.release_one();

    // The agent can reuse the connection only after it has received the response.
    within_time_limit("the reuse of the connection", async {
        loop {
            assert_eq!(agent.exchange(&get_request("/read", "2000m")).await.status(), 200);
            if server.next_request().await.connection == 0 {
                return;
            }
        }
    })
    .await;
}

/// A client disconnects after its request has been sent to a server. Then the server rejects the request as
/// not processed. The agent would retry the request if the client were still connected.
#[tokio::test]
async fn a_request_is_not_retried_after_its_client_disconnects() {
    for disconnect in DISCONNECTS {
        assert_not_retried(post_request("/pay", "60000m", "b"), disconnect).await;
        assert_not_retried(chunked_post_request("/pay", "60000m", "1\r\nb\r\n0\r\n\r\n"), disconnect).await;
    }
}

/// Asserts that the agent does not retry this request after its client has disconnected.
async fn assert_not_retried(request: String, disconnect: Disconnect) {
    // The server closes other connections after one response, so only the first connection can be reused.
    let other_reply = ServerReply::Close(ok_response("x"));
    let gate = ResponseGate::default();
    let mut server = TestServer::holding_payments(&gate, NOT_PROCESSED_503.to_vec(), other_reply).await;
    let agent = start_agent(server.address).await;
    let client = agent.send_request(&request).await;
    assert_eq!(server.next_request().await.body, b"b");

    disconnect.apply(&agent, client).await;
    gate.release_one();

    // The agent reuses the first connection once it has received the rejection. No retry may come before.
    within_time_limit("the reuse of the connection", async {
        loop {
            assert_eq!(agent.get("/read").await.status(), 200);
            let request = server.next_request().await;
            let line = request.first_line();
            assert!(line.starts_with("GET /read"), "{}: {line}", disconnect.description);
            if request.connection == 0 {
                return;
            }
        }
    })
    .await;
}

/// A request is queued because the only server is at its estimated capacity. The server has free capacity
/// only after the client has disconnected.
#[tokio::test]
async fn a_queued_request_is_not_sent_after_its_client_disconnects() {
    for disconnect in DISCONNECTS {
        let gate = ResponseGate::default();
        let mut server = TestServer::holding_responses(&gate, "x").await;
        let agent = start_agent(server.address).await;
        // Two requests in flight use up the estimated capacity of a new server.
        let mut first_clients = Vec::new();
        for _ in 0..2 {
            first_clients.push(agent.send_request(&post_request("/pay/first", "60000m", "b")).await);
            server.next_request().await;
        }
        let client = agent.send_request(&post_request("/pay/left", "60000m", "b")).await;

        disconnect.apply(&agent, client).await;
        gate.release_one();
        gate.release_one();
        let _last_client = agent.send_request(&post_request("/pay/last", "60000m", "b")).await;

        let next = server.next_request().await;
        assert_eq!(next.first_line(), "POST /pay/last HTTP/1.1", "{}", disconnect.description);
        gate.release_held();
        assert!(!server.has_unread_request(), "{}: a further request was sent", disconnect.description);
    }
}

/// A client drops its connection while the agent's connect to the server is in progress. The connect takes so
/// long because the server's backlog is full.
#[tokio::test]
async fn a_request_is_not_sent_if_its_client_drops_the_connection_during_the_connect() {
    let listener = FullBacklogListener::start().await;
    let agent =
        start_configured_agent(listener.address, |config| config.with_connect_timeout_ms(10_000)).await;
    let client = agent.send_request(&post_request("/pay", "60000m", "b")).await;
    wait_for_connect_in_progress(listener.address).await;

    drop(client);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let mut stream = listener.accept_pending_connection().await;

    // The next request uses this connection, so any bytes of the first request would precede it.
    let _next_client = agent.send_request(&get_request("/read/next", "60000m")).await;
    let next = within_time_limit("the next request", read_message(&mut stream, 0)).await;
    assert_eq!(next.expect("the request should be complete").first_line(), "GET /read/next HTTP/1.1");
}

/// A client disconnects while the agent's connect to the server is in progress. The agent handles each way to
/// disconnect before the connect succeeds.
#[tokio::test]
async fn a_request_is_not_sent_however_its_client_disconnects_during_the_connect() {
    for disconnect in DISCONNECTS {
        let listener = FullBacklogListener::start().await;
        let agent =
            start_configured_agent(listener.address, |config| config.with_connect_timeout_ms(20_000)).await;
        let client = agent.send_request(&post_request("/pay/left", "60000m", "b")).await;
        wait_for_connect_in_progress(listener.address).await;

        disconnect.apply(&agent, client).await;
        let mut stream = listener.accept_pending_connection().await;

        // The next request uses this connection, so any bytes of the first request would precede it.
        let _next_client = agent.send_request(&post_request("/pay/next", "60000m", "b")).await;
        let next = within_time_limit("the next request", read_message(&mut stream, 0)).await;
        let next = next.expect("the request should be complete");
        assert_eq!(next.first_line(), "POST /pay/next HTTP/1.1", "{}", disconnect.description);
    }
}

/// The same request comes again while the first attempt is in flight, and after it has ended.
#[tokio::test]
async fn an_id_whose_client_has_left_does_not_run_twice() {
    for path in ["/pay", "/save"] {
        for disconnect in DISCONNECTS {
            let gate = ResponseGate::default();
            let mut server = TestServer::holding_responses(&gate, "x").await;
            let agent = start_agent(server.address).await;
            let request = post_request(path, "60000m", "b");
            let client = agent.send_request(&request).await;
            assert_eq!(server.next_request().await.body, b"b");

            disconnect.apply(&agent, client).await;
            let while_running = agent.exchange(&request).await;
            gate.release_one();
            // The attempt may have ended by now, or not: the id must be refused in either case.
            let after_run = agent.exchange(&request).await;

            let description = disconnect.description;
            assert_eq!((while_running.status(), after_run.status()), (409, 409), "{path}, {description}");
            assert!(!server.has_unread_request(), "{path}, {description}: the request ran twice");
        }
    }
}

/// An id whose request has certainly not run can come again.
#[tokio::test]
async fn an_id_that_has_not_run_may_come_again() {
    let replies = vec![
        ServerReply::KeepOpen(NOT_PROCESSED_503.to_vec()),
        ServerReply::KeepOpen(NOT_PROCESSED_503.to_vec()),
        ServerReply::KeepOpen(NOT_PROCESSED_503.to_vec()),
        ServerReply::KeepOpen(ok_response("x")),
    ];
    let server = TestServer::replying_in_order(replies).await;
    let agent = start_agent(server.address).await;
    let request = post_request("/pay", "300m", "b");

    let statuses = within_time_limit("a served request", async {
        let mut statuses = Vec::new();
        while !statuses.contains(&200) {
            statuses.push(agent.exchange(&request).await.status());
        }
        statuses
    })
    .await;

    assert!(statuses.iter().all(|status| [200, 429].contains(status)), "{statuses:?}");
}
