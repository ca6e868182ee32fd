//! Tests of the pool of connections to servers: reuse, keep-alive limits, and connections that must not be
//! reused.

mod common;
use common::messages::{get_request, ok_response, post_request};
use common::server::{ServerReply, TestServer};
use common::setup::{start_agent, start_configured_agent};
use std::time::{Duration, Instant};

#[tokio::test]
async fn connections_are_reused() {
    let mut server = TestServer::responding_with("x").await;
    let agent = start_agent(server.address).await;
    let mut client = agent.connect().await;

    for _ in 0..20 {
        assert_eq!(client.exchange(&get_request("/read", "2000m")).await.status(), 200);
        assert_eq!(server.next_request().await.connection, 0);
    }
    assert_eq!(server.accepted_connections(), 1);
}

/// The agent writes no request to an idle connection that the server has closed.
#[tokio::test]
async fn a_connection_closed_while_idle_is_not_reused() {
    let mut server = TestServer::start(|_| ServerReply::Close(ok_response("x"))).await;
    let agent = start_agent(server.address).await;

    for connection in 0..5 {
        let response = agent.exchange(&post_request("/pay", "2000m", "b")).await;
        assert_eq!(response.status(), 200);
        assert_eq!(server.next_request().await.connection, connection);
        // The agent closes its side once it has detected that the server has closed the connection.
        assert_eq!(server.next_closed_connection().await, connection);
    }
}

/// The agent closes an idle connection well before the server's keep-alive limit. A request that is sent
/// while the server closes the connection would end with a reset.
#[tokio::test]
async fn idle_connections_are_closed_before_the_servers_keep_alive_limit() {
    let mut server = TestServer::responding_with("x").await;
    let agent = start_configured_agent(server.address, |config| config.with_keep_alive_ms(1500)).await;

    let sent_at = Instant::now();
    assert_eq!(agent.exchange(&get_request("/read", "2000m")).await.status(), 200);
    server.next_request().await;

    assert_eq!(server.next_closed_connection().await, 0);
    assert!(sent_at.elapsed() > Duration::from_millis(900), "the connection was closed too early");
}
