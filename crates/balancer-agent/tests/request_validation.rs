//! Tests of requests that the agent rejects as invalid: wrong headers, ambiguous or excessive lengths, and
//! ids of open requests.

mod common;
use common::messages::{chunked_post_request, get_request, post_request};
use common::server::{ResponseGate, TestServer};
use common::setup::start_agent;

/// The maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 10;

/// An invalid request and the status code of the response to it.
struct InvalidRequest {
    text: String,
    status: u16,
}

/// Returns requests with an invalid, missing or inconsistent part.
fn invalid_requests() -> Vec<InvalidRequest> {
    let valid = get_request("/read", "2000m");
    [
        (valid.replace("/read", "/nowhere"), 404),
        (valid.replace("Class: read", "Class: save"), 400),
        (valid.replace("X-Priority-Class: read\r\n", ""), 400),
        (valid.replace("acme", "nobody"), 400),
        (valid.replace("X-Tenant-Id: acme\r\n", ""), 400),
        (valid.replace("X-Request-ID: id", "X-Other: id"), 400),
        (valid.replace("X-Timeout: 2000m\r\n", ""), 400),
        (valid.replace("2000m", "soon"), 400),
        (valid.replace("2000m", "-5m"), 400),
        (valid.replace("2000m", "0m"), 400),
        (valid.replace("2000m", "99999999999999999999999m"), 400),
        (post_request("/read", "2000m", ""), 405),
        (get_request("/save", "2000m"), 405),
        (post_request("/save", "2000m", "").replace("Idempotency-Key: k1\r\n", ""), 400),
        (post_request("/pay", "2000m", "").replace("Content-Length: 0", "Content-Length: 65537"), 413),
        ("what is this\r\n\r\n".to_owned(), 400),
    ]
    .map(|(text, status)| InvalidRequest { text, status })
    .into()
}

#[tokio::test]
async fn invalid_requests_are_rejected_and_not_forwarded() {
    let mut server = TestServer::responding_with("x").await;
    let agent = start_agent(server.address).await;

    for invalid_request in invalid_requests() {
        assert_eq!(
            agent.exchange(&invalid_request.text).await.status(),
            invalid_request.status,
            "{}",
            invalid_request.text
        );
    }
    let chunk = "8000\r\n".to_owned() + &"x".repeat(0x8000) + "\r\n";
    let too_many_chunks = chunk.repeat(3) + "0\r\n\r\n";
    let response = agent.exchange(&chunked_post_request("/pay", "2000m", &too_many_chunks)).await;
    assert_eq!(response.status(), 413);

    let largest_body = "b".repeat(MAX_BODY_BYTES);
    assert_eq!(agent.exchange(&post_request("/pay", "2000m", &largest_body)).await.status(), 200);
    assert_eq!(server.next_request().await.body.len(), MAX_BODY_BYTES);
    assert!(!server.has_unread_request(), "an invalid request was forwarded");
}

/// Two peers may interpret an ambiguous length differently, so that one of them reads a request where the
/// other reads a body. The agent does not forward a request of ambiguous length, and reads no request from
/// the bytes after it.
#[tokio::test]
async fn a_request_of_ambiguous_length_is_rejected_and_its_connection_closed() {
    let mut server = TestServer::responding_with("x").await;
    let agent = start_agent(server.address).await;
    let hidden_request = get_request("/read/hidden", "2000m");

    for ambiguous_headers in [
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
        "Content-Length: 0\r\nContent-Length: 0\r\n",
        "Content-Length: 0\r\nContent-Length: 5\r\n",
        "Content-Length: +0\r\n",
        "Content-Length: -5\r\n",
        "Transfer-Encoding: identity\r\n",
    ] {
        let request = post_request("/pay", "2000m", "").replace("Content-Length: 0\r\n", ambiguous_headers);
        let mut client = agent.send_request(&format!("{request}0\r\n\r\n{hidden_request}")).await;
        assert_eq!(client.receive().await.status(), 400, "{ambiguous_headers}");
        client.wait_for_close().await;
    }
    assert!(!server.has_unread_request(), "a request was forwarded");

    // A chunked body without `Content-Length` is unambiguous, so its request is served.
    let chunked = chunked_post_request("/pay", "2000m", "2\r\nab\r\n0\r\n\r\n");
    assert_eq!(agent.exchange(&chunked).await.status(), 200);
    assert_eq!(server.next_request().await.body, b"ab");
}

/// The agent rejects a request with an oversized head or body before it has received the complete request.
#[tokio::test]
async fn oversized_headers_and_bodies_are_rejected_early() {
    let server = TestServer::responding_with("x").await;
    let agent = start_agent(server.address).await;

    let head = "GET /read HTTP/1.1\r\n".to_owned() + &"X-Filler: y\r\n".repeat(50) + "X-Long: ";
    let mut client = agent.send_request(&(head + &"z".repeat(20 << 10))).await;
    assert_eq!(client.receive().await.status(), 431);

    let large = post_request("/pay", "2000m", "").replace("Content-Length: 0", "Content-Length: 60000000");
    let mut client = agent.send_request(&large).await;
    assert_eq!(client.receive().await.status(), 413);
    client.wait_for_close().await;
}

/// The agent rejects a request with the id of an open request, and serves the open request.
#[tokio::test]
async fn a_request_id_that_is_in_flight_is_rejected() {
    let gate = ResponseGate::default();
    let mut server = TestServer::holding_responses(&gate, "first").await;
    let agent = start_agent(server.address).await;
    let request = post_request("/pay", "20000m", "b");
    let mut first_client = agent.send_request(&request).await;
    server.next_request().await;

    let mut second_client = agent.send_request(&request).await;
    assert_eq!(second_client.receive().await.status(), 409);
    second_client.wait_for_close().await;

    gate.release_one();
    assert_eq!(first_client.receive().await.body, b"first");
    assert!(!server.has_unread_request(), "the request was sent twice");
}
