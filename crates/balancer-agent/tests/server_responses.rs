//! Tests of malformed, truncated, early and oversized server responses: which of them fail the attempt, and
//! which only close the connection.

mod common;
use common::messages::{ok_response, post_request, read_message, NOT_PROCESSED_503};
use common::server::{ServerReply, TestServer};
use common::setup::start_agent;
use common::sockets::{accept_connection, small_buffer_listener};
use common::within_time_limit;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;

/// The agent must not serve a truncated body as a complete one.
#[tokio::test]
async fn a_truncated_response_fails_its_attempt() {
    let response = b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf";
    assert_attempt_fails(ServerReply::Close(response.to_vec())).await;
}

/// Guards against the loss of a complete response that has neither `Content-Length` nor chunks. The orderly
/// end of the connection is its end.
#[tokio::test]
async fn a_response_of_unknown_length_is_served_if_its_connection_ends_in_order() {
    for (head, body) in [
        ("HTTP/1.1 200 OK\r\n\r\n", "complete"),
        ("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", ""),
        ("HTTP/1.0 200 OK\r\nContent-Type: text/plain\r\n\r\n", &"x".repeat(64 << 10)),
    ] {
        let response_bytes = format!("{head}{body}").into_bytes();
        let server = TestServer::start(move |_| ServerReply::Close(response_bytes.clone())).await;
        let agent = start_agent(server.address).await;

        let response = agent.exchange(&post_request("/pay", "20000m", "b")).await;

        assert_eq!((response.status(), response.body.as_slice()), (200, body.as_bytes()), "{head:?}");
    }
}

/// A reset does not end a response, so the agent must not serve what it has received until then.
#[tokio::test]
async fn a_response_of_unknown_length_that_is_reset_fails_its_attempt() {
    assert_attempt_fails(ServerReply::Reset(b"HTTP/1.1 200 OK\r\n\r\nperhaps a part".to_vec())).await;
    assert_attempt_fails(ServerReply::Reset(b"HTTP/1.1 200 OK\r\n\r\n".to_vec())).await;
}

/// The body ends with the connection, but it is not the body that the server has encoded.
#[tokio::test]
async fn a_response_with_an_unknown_transfer_coding_fails_its_attempt() {
    let response = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nencoded";
    assert_attempt_fails(ServerReply::Close(response.to_vec())).await;
}

/// Asserts that the agent fails a request to which the server sends this reply.
async fn assert_attempt_fails(reply: ServerReply) {
    let server = TestServer::start(move |_| reply.clone()).await;
    let agent = start_agent(server.address).await;

    let response = agent.exchange(&post_request("/pay", "2000m", "b")).await;

    assert_eq!(response.status(), 502);
}

#[tokio::test]
async fn malformed_responses_fail_only_their_own_attempts() {
    let malformed_load =
        b"HTTP/1.1 200 OK\r\nX-Server-Load: TEXT queue=NaN, qps\r\nContent-Length: 0\r\n\r\n";
    let malformed_status = b"HTTP/1.1 999 What\r\nX-Server-Load: \xff=,,\r\nContent-Length: 0\r\n\r\n";
    let server = TestServer::replying_in_order(vec![
        ServerReply::Close(b"\0\xff\r\n\r\n".to_vec()),
        ServerReply::Close(malformed_status.to_vec()),
        ServerReply::Close(b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n".to_vec()),
        ServerReply::KeepOpen(malformed_load.to_vec()),
    ])
    .await;
    let agent = start_agent(server.address).await;

    for status in [502, 502, 502, 200] {
        let response = agent.exchange(&post_request("/pay", "2000m", "b")).await;
        assert_eq!(response.status(), status);
    }
}

/// Returns responses with a malformed or oversized head, an invalid length, an oversized body, and too many
/// informational responses.
fn malformed_responses() -> Vec<Vec<u8>> {
    let with_headers = |headers: &str| format!("HTTP/1.1 200 OK\r\n{headers}").into_bytes();
    let chunk = "400\r\n".to_owned() + &"x".repeat(1024) + "\r\n";
    vec![
        b"\x80\x81\xff\0 noise".to_vec(),
        with_headers(&"X-Filler: y\r\n".repeat(4000)),
        with_headers(&("X-Long: ".to_owned() + &"z".repeat(40 << 10))),
        with_headers("Content-Length: -5\r\n\r\nx"),
        with_headers("Content-Length: 1\r\nContent-Length: 2\r\n\r\nxy"),
        with_headers("Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"),
        with_headers(&("Content-Length: 3000000000\r\n\r\n".to_owned() + &"x".repeat(300 << 10))),
        with_headers(&("Transfer-Encoding: chunked\r\n\r\n".to_owned() + &chunk.repeat(300))),
        with_headers("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
        with_headers(&("\r\n".to_owned() + &"x".repeat(300 << 10))),
        b"HTTP/1.1 100 Continue\r\n\r\n".repeat(20_000),
    ]
}

/// Each of these responses fails its attempt soon. The agent assumes that the request may have been
/// processed, and closes the connection, although the server keeps it open.
#[tokio::test]
async fn a_malformed_or_oversized_response_fails_its_attempt_and_closes_its_connection() {
    let responses = malformed_responses();
    let response_count = responses.len();
    let script = move |connection: usize| ServerReply::KeepOpen(responses[connection].clone());
    let mut server = TestServer::start(move |request| script(request.connection)).await;
    let agent = start_agent(server.address).await;

    for connection in 0..response_count {
        let sent_at = Instant::now();
        let response = agent.exchange(&post_request("/pay", "20000m", "b")).await;
        assert_eq!(response.status(), 502, "connection {connection}");
        assert!(
            sent_at.elapsed() < Duration::from_secs(10),
            "connection {connection}: the response took {:?}",
            sent_at.elapsed()
        );
        assert_eq!(server.next_request().await.connection, connection);
    }
    assert!(!server.has_unread_request(), "a request was sent twice");
}

/// The agent skips 1xx responses. If further bytes follow a valid response, the agent serves the response and
/// closes the connection.
#[tokio::test]
async fn a_response_followed_by_further_bytes_is_served_and_its_connection_closed() {
    let informational = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n";
    let further_bytes: [&[u8]; 2] = [b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong", b"\xff\0noise"];
    let mut server = TestServer::start(move |request| {
        let further_bytes = further_bytes[request.connection % 2];
        ServerReply::KeepOpen([informational, ok_response("right").as_slice(), further_bytes].concat())
    })
    .await;
    let agent = start_agent(server.address).await;

    for connection in 0..6 {
        let response = agent.exchange(&post_request("/pay", "20000m", "b")).await;
        assert_eq!((response.status(), response.body.as_slice()), (200, b"right".as_slice()));
        assert_eq!(server.next_request().await.connection, connection);
    }
}

/// A server begins to process a request when it receives the last byte, so the agent does not serve a
/// response that comes earlier. A server that rejects a request early must not get the rest of it. Otherwise
/// the server would process the request in addition to the retry.
#[tokio::test]
async fn a_response_before_the_end_of_its_request_is_discarded_and_closes_its_connection() {
    assert_early_response_is_discarded(&ok_response("early")).await;
    assert_early_response_is_discarded(NOT_PROCESSED_503).await;
}

/// Asserts that the agent discards a response that a server sends before the end of the request.
async fn assert_early_response_is_discarded(early_response: &[u8]) {
    const BODY_BYTES: usize = 64 << 10;
    let listener = small_buffer_listener();
    let agent = start_agent(listener.local_addr().expect("the listener should have an address")).await;
    let mut client = agent.send_request(&post_request("/pay", "60000m", &"b".repeat(BODY_BYTES))).await;

    let mut first_connection = accept_connection(&listener).await;
    within_time_limit("a part of the request", first_connection.readable())
        .await
        .expect("a part of the request should arrive");
    first_connection.write_all(early_response).await.expect("the response should be written");

    let mut second_connection = accept_connection(&listener).await;
    let rest =
        within_time_limit("the close of the first connection", read_message(&mut first_connection, 0)).await;
    assert!(rest.is_none(), "the complete request was sent");
    let retry = within_time_limit("the retry", read_message(&mut second_connection, 1))
        .await
        .expect("the retry should be complete");
    assert_eq!(retry.body.len(), BODY_BYTES);
    second_connection.write_all(&ok_response("right")).await.expect("the response should be written");
    assert_eq!(client.receive().await.body, b"right");
}
