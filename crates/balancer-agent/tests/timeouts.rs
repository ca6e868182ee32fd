//! Timeouts: of a server that does not respond, and of a request that is not received completely.

mod common;
use common::config::RequestClass;
use common::messages::{get_request, ok_response, post_request, read_message};
use common::server::{ServerReply, TestServer};
use common::setup::{start_agent, start_configured_agent};
use common::within_time_limit;
use std::time::{Duration, Instant};

/// A partitioned server does not respond at all. The client gets a response by its own timeout, which is far
/// shorter than the timeout of the class, and the silent connection is not reused.
#[tokio::test]
async fn a_request_without_a_response_fails_at_the_clients_deadline() {
    let mut server = TestServer::start(|request| match request.connection {
        0 => ServerReply::Silent,
        _ => ServerReply::KeepOpen(ok_response("x")),
    })
    .await;
    let agent =
        start_configured_agent(server.address, |config| config.with_deadline_ms(RequestClass::Pay, 25_000))
            .await;

    let sent = Instant::now();
    let response = agent.exchange(&post_request("/pay", "2000m", "b")).await;

    assert_eq!(response.status(), 504);
    assert!(sent.elapsed() < Duration::from_secs(15), "{:?}", sent.elapsed());
    assert_eq!(server.next_request().await.connection, 0);
    assert_eq!(server.next_closed_connection().await, 0);
    // The server is suspected now, but it is the only one.
    within_time_limit("a served request", async {
        while agent.exchange(&get_request("/read", "2000m")).await.status() != 200 {}
    })
    .await;
    assert_eq!(server.next_request().await.connection, 1);
}

/// A connection with no request, half a head or half a body gets an error or is closed, well within 3 s.
#[tokio::test]
async fn an_incomplete_request_times_out() {
    let mut server = TestServer::responding_with("x").await;
    let agent = start_agent(server.address).await;
    let half_body = post_request("/pay", "2000m", "body").replace("body", "bo");

    for incomplete in ["", "GET /read HTTP/1.1\r\nHost: x\r\n", &half_body] {
        let connected = Instant::now();
        let mut client = agent.send_request(incomplete).await;
        let response = within_time_limit("a response or a close", read_message(&mut client.stream, 0)).await;
        assert!(response.is_none_or(|response| response.status() == 408), "{incomplete}");
        assert!(connected.elapsed() > Duration::from_secs(1), "too early for slow clients");
        assert!(connected.elapsed() < Duration::from_millis(2900), "{:?}", connected.elapsed());
    }
    assert!(!server.has_further_request(), "half a request was forwarded");
}
