//! Tests of how the agent closes client connections: when it closes a connection, and that the close
//! truncates no response.

mod common;
use common::agent::Agent;
use common::client::Client;
use common::config::AgentConfig;
use common::kernel::is_close_unacknowledged;
use common::messages::{get_request, ok_response};
use common::server::{ServerReply, TestServer};
use common::setup::{
    start_agent_with_low_socket_limit, start_configured_agent, DELAY_PAST_ACCEPT_PERIOD, LOW_SOCKET_LIMIT,
};
use common::sockets::small_buffer_connection;
use common::within_time_limit;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::sleep;

/// The size of a response body that does not fit into the buffers of a slow client's connection.
const LARGE_BODY_BYTES: usize = 64 << 10;

fn large_body() -> String {
    "x".repeat(LARGE_BODY_BYTES)
}

/// Connects a client with a very small receive buffer, and requests a response that is too large for the
/// buffer. Returns once the first byte of the response has arrived.
async fn connect_slow_client(agent: &Agent) -> Client {
    let mut client = Client { stream: small_buffer_connection(agent.address).await };
    client.send(&get_request("/read/large", "60000m")).await;
    let mut first_byte = [0];
    within_time_limit("a response", client.stream.peek(&mut first_byte))
        .await
        .expect("the first byte should arrive");
    client
}

/// Clients abandon connections faster than the agent closes idle ones. Once many connection slots are in use,
/// and not before, responses have a `Connection: close` header, and the agent closes the connection after the
/// response.
#[tokio::test]
async fn responses_close_their_connections_at_high_slot_usage() {
    let server = TestServer::responding_with("x").await;
    let agent = start_agent_with_low_socket_limit(server.address).await;

    let mut kept_clients = Vec::new();
    loop {
        let mut client = agent.connect().await;
        let response = client.exchange(&get_request("/read", "20000m")).await;
        assert_eq!(response.status(), 200);
        if response.header("connection") == Some("close") {
            client.wait_for_close().await;
            break;
        }
        kept_clients.push(client);
        assert!(
            kept_clients.len() < LOW_SOCKET_LIMIT,
            "the agent keeps more connections than its socket limit"
        );
    }
    assert!(kept_clients.len() >= 5, "a connection was closed while few slots were in use");
}

/// While a response is being written, its connection does not count as idle and is not evicted.
#[tokio::test]
async fn a_connection_with_an_unfinished_response_is_not_idle() {
    let server = TestServer::start(|request| {
        let is_large = request.head.contains("/large");
        let body = if is_large { large_body() } else { "x".to_owned() };
        ServerReply::KeepOpen(ok_response(&body))
    })
    .await;
    // With a quarter of the slots in use, the agent closes connections that have been idle for 2.05 s.
    let agent = start_configured_agent(server.address, |config| {
        config.with_long_timeouts().with_socket_limit(LOW_SOCKET_LIMIT)
    })
    .await;
    let mut slow_client = connect_slow_client(&agent).await;

    let mut idle_clients = Vec::new();
    for _ in 0..9 {
        let mut client = agent.connect().await;
        assert_eq!(client.exchange(&get_request("/read", "60000m")).await.status(), 200);
        idle_clients.push(client);
    }
    for client in idle_clients.iter_mut().take(2) {
        client.wait_for_close().await;
    }

    let response = slow_client.receive().await;
    assert_eq!((response.status(), response.body.len()), (200, LARGE_BODY_BYTES));
}

/// After SIGTERM, the agent does not exit before a slow client has received its response.
#[tokio::test]
async fn a_slow_client_receives_its_response_before_the_agent_exits() {
    let server = TestServer::responding_with(&large_body()).await;
    let mut agent = start_configured_agent(server.address, AgentConfig::with_long_timeouts).await;
    let mut client = connect_slow_client(&agent).await;

    agent.send_sigterm().await;
    sleep(DELAY_PAST_ACCEPT_PERIOD).await;

    let response = client.receive().await;
    assert_eq!((response.status(), response.body.len()), (200, LARGE_BODY_BYTES));
    client.wait_for_close().await;
    assert!(agent.wait_for_exit().await.success());
}

/// A client sends more bytes while the agent closes the connection after the last response. If the agent
/// closed the socket with unread bytes, the kernel would reset the connection, and the client would lose the
/// rest of the response.
#[tokio::test]
async fn a_response_is_not_truncated_by_request_bytes_that_arrive_during_the_close() {
    let server = TestServer::responding_with(&large_body()).await;
    let mut agent = start_configured_agent(server.address, AgentConfig::with_long_timeouts).await;
    let mut client = connect_slow_client(&agent).await;
    let client_address = client.stream.local_addr().expect("the socket should have an address");

    agent.send_sigterm().await;
    let mut response = Vec::new();
    let mut buffer = [0; 64];
    while !is_close_unacknowledged(agent.address, client_address) {
        let read = within_time_limit("more of the response", client.stream.read(&mut buffer)).await;
        response.extend_from_slice(&buffer[..read.expect("the response should not be truncated")]);
    }
    client.stream.write_all(b"x").await.expect("the byte should be written");

    within_time_limit("the rest of the response", client.stream.read_to_end(&mut response))
        .await
        .expect("the response should not be truncated");
    assert!(
        response.ends_with(large_body().as_bytes()),
        "the response is truncated: {} bytes were received",
        response.len()
    );
    assert!(agent.wait_for_exit().await.success());
}
