//! Tests of the timeouts for servers that do not respond, and for requests that do not arrive completely.

mod common;
use common::config::RequestClass;
use common::messages::{get_request, ok_response, post_request, read_message};
use common::server::{ServerReply, TestServer};
use common::setup::{start_agent, start_configured_agent};
use common::within_time_limit;
use std::time::{Duration, Instant};

/// A server behind a network partition sends no response. The agent fails the request at the deadline that
/// the client's `X-Timeout` sets, long before the timeout of the class, and does not reuse the connection.
#[tokio::test]
async fn a_request_without_a_response_fails_at_the_clients_deadline() {
    let mut server = TestServer::start(|request| match request.connection {
        0 => ServerReply::Silent,
        _ => ServerReply::KeepOpen(ok_response("x")),
    })
    .await;
    let agent = start_configured_agent(server.address, |config| {
        config.with_class_timeout_ms(RequestClass::Pay, 25_000)
    })
    .await;

    let sent_at = Instant::now();
    let response = agent.exchange(&post_request("/pay", "2000m", "b")).await;

    assert_eq!(response.status(), 504);
    assert!(sent_at.elapsed() < Duration::from_secs(15), "the response took {:?}", sent_at.elapsed());
    assert_eq!(server.next_request().await.connection, 0);
    assert_eq!(server.next_closed_connection().await, 0);
    // The server is suspected now, but the agent still uses it because there is no other server.
    within_time_limit("a served request", async {
        while agent.exchange(&get_request("/read", "2000m")).await.status() != 200 {}
    })
    .await;
    assert_eq!(server.next_request().await.connection, 1);
}

/// If a client sends no request, or only a part of a head or body, the agent responds with an error or closes
/// the connection well within 3 s.
#[tokio::test]
async fn an_incomplete_request_times_out() {
    let mut server = TestServer::responding_with("x").await;
    let agent = start_agent(server.address).await;
    let half_body = post_request("/pay", "2000m", "body").replace("body", "bo");

    for incomplete_request in ["", "GET /read HTTP/1.1\r\nHost: x\r\n", &half_body] {
        let connected_at = Instant::now();
        let mut client = agent.send_request(incomplete_request).await;
        let response = within_time_limit("a response or a close", read_message(&mut client.stream, 0)).await;
        assert!(response.is_none_or(|response| response.status() == 408), "{incomplete_request}");
        assert!(connected_at.elapsed() > Duration::from_secs(1), "the timeout is too short for slow clients");
        assert!(
            connected_at.elapsed() < Duration::from_millis(2900),
            "the response or the close took {:?}",
            connected_at.elapsed()
        );
    }
    assert!(!server.has_unread_request(), "an incomplete request was forwarded");
}
