//! Tests of attempts: which requests are forwarded, which failures are retried, and which response a client
//! gets when no attempt succeeds.

mod common;
use common::agent::Agent;
use common::config::{AgentConfig, RequestClass};
use common::discovery::{endpoint_entry, up_entry, Health, TestDiscovery, NEW_INCARNATION_START_MS};
use common::kernel::wait_for_connect_in_progress;
use common::messages::{get_request, ok_response, post_request, read_message, NOT_PROCESSED_503, PLAIN_503};
use common::server::{ResponseGate, ServerReply, TestServer};
use common::setup::{start_agent, start_configured_agent, start_watching_agent, SERVER_NAME};
use common::sockets::{FullBacklogListener, RefusingAddress};
use common::within_time_limit;
use serde_json::{json, Value};
use std::net::SocketAddr;

/// The server gets the method, target, request id, idempotency key and body that the client sent, and the
/// time left until the client's deadline as `X-Timeout`. The client gets the status and body that the server
/// sent.
#[tokio::test]
async fn requests_and_responses_are_forwarded_unchanged() {
    let mut server = TestServer::responding_with("body of the answer").await;
    let agent = start_agent(server.address).await;
    let request = post_request("/save/x?key=7f&more=%20", "2000m", "the body");

    let response = agent.exchange(&request).await;

    assert_eq!((response.status(), response.body.as_slice()), (200, b"body of the answer".as_slice()));
    let forwarded = server.next_request().await;
    assert_eq!(forwarded.first_line(), "POST /save/x?key=7f&more=%20 HTTP/1.1");
    let request_id = forwarded.header("x-request-id").expect("the request should have a request id");
    assert!(request.contains(&format!("X-Request-ID: {request_id}\r\n")));
    assert_eq!(forwarded.header("idempotency-key"), Some("k1"));
    assert_eq!(forwarded.body, b"the body");
    let timeout = forwarded
        .header("x-timeout")
        .and_then(|value| value.strip_suffix('u'))
        .expect("the request should have a timeout in microseconds");
    let timeout: u64 = timeout.parse().expect("the timeout should be a number");
    assert!(
        timeout > 0 && timeout < 2_000_000,
        "{timeout} us must be positive and less than the client's timeout"
    );
}

/// A server may have processed a request if the connection breaks after the request's last byte. The agent
/// does not retry an at-most-once request then. It does not reject the request either, because the client may
/// retry a rejected request.
#[tokio::test]
async fn an_at_most_once_request_is_not_retried_if_the_connection_breaks_after_its_last_byte() {
    assert_not_retried(ServerReply::Close(Vec::new())).await;
}

/// A server that has refused the connect has not processed the request, so any class may be retried.
#[tokio::test]
async fn an_at_most_once_request_is_retried_elsewhere_after_a_refused_connect() {
    let mut server = TestServer::responding_with("x").await;
    let discovery = TestDiscovery::silent().await;
    let refusing_address = RefusingAddress::reserve();
    let cached_entries = [up_entry("dead", refusing_address.address), up_entry("good", server.address)];
    let agent = Agent::start(&AgentConfig::new(discovery.address, &cached_entries)).await;

    for _ in 0..6 {
        let response = agent.exchange(&post_request("/pay", "2000m", "b")).await;
        assert_eq!(response.status(), 200);
        server.next_request().await;
    }
}

/// Only `X-Not-Processed: 1` proves that a request was not processed. A server may send a plain 503 after it
/// has processed the request.
#[tokio::test]
async fn an_at_most_once_request_is_not_retried_after_a_plain_503() {
    assert_not_retried(ServerReply::KeepOpen(PLAIN_503.to_vec())).await;
}

/// Asserts that the agent sends an at-most-once request once and fails it if the only server sends this
/// reply.
async fn assert_not_retried(reply: ServerReply) {
    let mut server = TestServer::start(move |_| reply.clone()).await;
    let agent = start_agent(server.address).await;

    let response = agent.exchange(&post_request("/pay", "2000m", "b")).await;

    assert_eq!(response.status(), 502);
    server.next_request().await;
    assert!(!server.has_unread_request(), "the request was sent twice");
}

#[tokio::test]
async fn an_at_most_once_request_is_retried_after_a_503_marked_not_processed() {
    let rejection = ServerReply::KeepOpen(NOT_PROCESSED_503.to_vec());
    let success = ServerReply::KeepOpen(ok_response("x"));
    let mut server = TestServer::replying_in_order(vec![rejection, success]).await;
    let agent = start_agent(server.address).await;

    let response = agent.exchange(&post_request("/pay", "2000m", "b")).await;

    assert_eq!(response.status(), 200);
    let first_attempt = server.next_request().await;
    let request_id = first_attempt.header("x-request-id").expect("the request should have a request id");
    let retry = server.next_request().await;
    assert_eq!(retry.header("x-request-id"), Some(request_id));
    assert_eq!(retry.connection, 0, "a rejection must not close the connection");
}

/// A retry must be sent within the deduplication window of its request. The agent starts no retry if the
/// connect may last until after the window.
#[tokio::test]
async fn a_retry_that_may_miss_its_deduplication_window_is_not_started() {
    assert!(!is_retried_with_window_ms(5_000).await);
    assert!(is_retried_with_window_ms(60_000).await);
}

/// Returns whether the agent retries a failed request of a class with this deduplication window. The timeout
/// for the connect to the next server is 20 s.
async fn is_retried_with_window_ms(deduplication_window_ms: u64) -> bool {
    let gate = ResponseGate::default();
    let malformed_reply = ServerReply::WhenReleased(gate.clone(), b"\0\xff\r\n\r\n".to_vec());
    let mut first_server = TestServer::start(move |_| malformed_reply.clone()).await;
    let next_server = FullBacklogListener::start().await;
    let mut discovery = TestDiscovery::without_updates().await;
    let agent = start_watching_agent(&mut discovery, first_server.address, |config| {
        config
            .with_connect_timeout_ms(20_000)
            .with_deduplication_window_ms(RequestClass::Save, deduplication_window_ms)
    })
    .await;
    let mut client = agent.send_request(&post_request("/save", "60000m", "b")).await;
    first_server.next_request().await;
    let draining = endpoint_entry(SERVER_NAME, first_server.address, Health::Draining);
    discovery.publish(2, &[draining, up_entry("next", next_server.address)]);
    discovery.next_call().await;

    gate.release_one();

    tokio::select! {
        () = wait_for_connect_in_progress(next_server.address) => true,
        response = client.receive() => {
            assert_eq!(response.status(), 429, "servers deduplicate the request, so the client may retry it");
            false
        }
    }
}

/// A change of a server's entry in the endpoint list. Connections that were opened before such a change must
/// carry no requests after it.
#[derive(Debug, Clone, Copy, PartialEq)]
enum ServerChange {
    /// The entry says that the server is draining.
    Draining,
    /// The entry says that the server has been removed.
    Removed,
    /// The complete list has no entry for the server.
    Absent,
    /// The entry has the start time of a new process.
    NewIncarnation,
    /// The entry has a new address.
    Moved,
}

impl ServerChange {
    const ALL: [ServerChange; 5] = [
        ServerChange::Draining,
        ServerChange::Removed,
        ServerChange::Absent,
        ServerChange::NewIncarnation,
        ServerChange::Moved,
    ];

    /// Returns the server's entry after the change; `None` if the list has no entry for the server.
    fn entry(self, address: SocketAddr, new_address: SocketAddr) -> Option<Value> {
        match self {
            ServerChange::Draining => Some(endpoint_entry(SERVER_NAME, address, Health::Draining)),
            ServerChange::Removed => Some(json!({"host": SERVER_NAME, "health": "removed"})),
            ServerChange::Absent => None,
            ServerChange::NewIncarnation => {
                let mut entry = up_entry(SERVER_NAME, address);
                entry["born_ms"] = NEW_INCARNATION_START_MS.into();
                Some(entry)
            }
            ServerChange::Moved => Some(up_entry(SERVER_NAME, new_address)),
        }
    }
}

/// The endpoint list changes the server's entry while a connect to the server is in progress. After the
/// connect succeeds, the agent writes nothing to the connection and sends the request to another server.
#[tokio::test]
async fn a_request_is_rerouted_if_its_servers_entry_changes_during_the_connect() {
    let mut other_server = TestServer::responding_with("other").await;
    let new_address = RefusingAddress::reserve();
    for change in ServerChange::ALL {
        let listener = FullBacklogListener::start().await;
        let mut discovery = TestDiscovery::without_updates().await;
        let agent = start_watching_agent(&mut discovery, listener.address, |config| {
            config.with_connect_timeout_ms(20_000)
        })
        .await;
        let mut client = agent.send_request(&post_request("/pay", "20000m", "b")).await;
        wait_for_connect_in_progress(listener.address).await;

        let mut entries = vec![up_entry("other", other_server.address)];
        entries.extend(change.entry(listener.address, new_address.address));
        discovery.publish(2, &entries);
        discovery.next_call().await;
        let mut stream = listener.accept_pending_connection().await;

        let message = within_time_limit("the close of the connection", read_message(&mut stream, 0)).await;
        assert!(message.is_none(), "{change:?}: {}", message.expect("a message was read").first_line());
        // The agent may send the request to the new incarnation instead, where it gets no response.
        if change != ServerChange::NewIncarnation {
            assert_eq!(client.receive().await.body, b"other", "{change:?}");
            other_server.next_request().await;
        }
    }
}

#[tokio::test]
async fn a_rejection_carries_retry_after_only_where_the_settings_allow_it() {
    let server = TestServer::start(|_| ServerReply::KeepOpen(NOT_PROCESSED_503.to_vec())).await;
    for is_allowed in [true, false] {
        let agent =
            start_configured_agent(server.address, |config| config.with_retry_after(is_allowed)).await;

        let response = agent.exchange(&get_request("/read", "2000m")).await;

        assert_eq!(response.status(), 429);
        let seconds = response
            .header("retry-after")
            .map(|value| value.parse::<f64>().expect("Retry-After should be a number of seconds"));
        assert_eq!(seconds.is_some(), is_allowed);
        assert!(seconds.is_none_or(|seconds| seconds > 0.0 && seconds <= 0.75), "{seconds:?}");
    }
}
