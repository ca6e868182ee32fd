//! Tests of attempts to servers that respond twice, respond without a length, or read slowly.

use super::*;
use crate::endpoint_list::EndpointList;
use crate::memory::Purpose;
use crate::upstream::PoolLimits;
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::pin::pin;
use std::task::Poll;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;
use tokio::time::sleep_until;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(60);
/// A timeout that no test reaches.
const LONG_TIMEOUT: Duration = Duration::from_secs(600);
const SERVER: ServerId = ServerId(0);

/// Creates a client whose pool contains the server behind the listener.
fn client_of(listener: &TcpListener) -> ServerClient {
    reporting_client_of(listener, Vec::new())
}

/// Creates a client like [`client_of`] for a server whose load reports have these fields.
fn reporting_client_of(listener: &TcpListener, load_report_fields: Vec<String>) -> ServerClient {
    let address = listener.local_addr().expect("an address");
    let limits =
        PoolLimits { max_connections: 10, connect_timeout: CONNECT_TIMEOUT, keepalive: LONG_TIMEOUT };
    let memory = MemoryBudget::with_capacity(8 << 20);
    let pool = ConnectionPool::new(limits, memory.clone());
    let list = serde_json::json!({"seq": 1, "hosts": [
        {"host": "s", "dial": address.to_string(), "health": "up"}]});
    let list = EndpointList::parse(&list).expect("a list");
    pool.update_server(SERVER, &list.entries[0]);
    ServerClient::new(pool, memory, load_report_fields)
}

fn response(body: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

async fn send_request(client: &ServerClient) -> AttemptResult {
    let request = Request::get("/").body(Full::default()).expect("a request");
    let deadline = Instant::now() + LONG_TIMEOUT;
    client.send_attempt(SERVER, request, deadline, &AttemptProgress::new(None)).await
}

/// Sends a request and returns the body of the response.
async fn body_of_response(client: &ServerClient) -> Bytes {
    send_request(client).await.response.expect("a response").body
}

/// Accepts a connection, responds to the first request on it, and returns the open connection.
async fn accept_and_respond(listener: &TcpListener, body: &str) -> TcpStream {
    accept_and_write(listener, &response(body)).await
}

/// Accepts a connection, writes these bytes after the first request on it, and returns the open connection.
async fn accept_and_write(listener: &TcpListener, response: &[u8]) -> TcpStream {
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let mut head = [0; 256];
    assert!(stream.read(&mut head).await.expect("a request") > 0);
    stream.write_all(response).await.expect("the response is written");
    stream
}

/// Guards against a server that responds twice to one request. The second response must not be taken for the
/// response to the next request. The pool delays the reuse of the connection. The second response arrives
/// meanwhile, and the next request is sent over another connection.
#[tokio::test(start_paused = true)]
async fn a_second_response_is_not_used_for_the_next_request() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let client = client_of(&listener);
    let test = async {
        let (first, mut stream) =
            tokio::join!(body_of_response(&client), accept_and_respond(&listener, "first"));
        assert_eq!(first, "first");
        stream.write_all(&response("second")).await.expect("the response is written");

        let next = timeout(CONNECT_TIMEOUT, accept_and_respond(&listener, "next"));
        let (next, _stream) = tokio::join!(body_of_response(&client), next);

        assert_eq!(next, "next");
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a short response that waits for the memory of long ones because its length is not stated.
#[tokio::test(start_paused = true)]
async fn a_short_response_of_unknown_length_is_served_beside_clients_that_hold_all_memory_of_long_ones() {
    for response in
        ["Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n0\r\n\r\n", "Connection: close\r\n\r\nshort"]
    {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let client = client_of(&listener);
        let response = format!("HTTP/1.1 200 OK\r\n{response}");
        let _held: Vec<_> =
            std::iter::from_fn(|| client.memory.try_reserve(Purpose::Response, MAX_BODY_BYTES)).collect();
        let server = async { drop(accept_and_write(&listener, response.as_bytes()).await) };
        let test = async {
            timeout(CONNECT_TIMEOUT, async { tokio::join!(body_of_response(&client), server) }).await
        };

        let (body, ()) = LocalSet::new().run_until(test).await.expect("a response");

        assert_eq!(body, "short", "{response}");
    }
}

/// The connect takes 1.5 of the 2 s that the client waits.
#[tokio::test(start_paused = true)]
async fn an_attempt_tells_its_server_the_time_that_is_left_after_the_connect() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let client = client_of(&listener);
    let progress = AttemptProgress::new(None);
    let request = Request::get("/").body(Full::default()).expect("a request");
    let deadline = Instant::now() + Duration::from_secs(2);
    let server = async {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut head = vec![0; 256];
        let length = stream.read(&mut head).await.expect("a request");
        String::from_utf8_lossy(&head[..length]).into_owned()
    };
    let test = async {
        let mut sent = pin!(client.send_attempt(SERVER, request, deadline, &progress));
        let is_pending = poll_fn(|cx| Poll::Ready(sent.as_mut().poll(cx).is_pending())).await;
        assert!(is_pending, "the connect is in progress");
        tokio::time::advance(Duration::from_millis(1_500)).await;
        tokio::select! {
            _ = sent => panic!("the attempt ended"),
            head = server => head,
        }
    };

    let head = LocalSet::new().run_until(test).await;

    assert!(head.contains("x-timeout: 500000u\r\n"), "{head}");
}

/// Guards against a slow response whose attempt counts as overdue although the response is arriving.
#[tokio::test(start_paused = true)]
async fn each_part_of_a_response_is_recorded_as_progress() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let client = client_of(&listener);
    let progress = AttemptProgress::new(None);
    let server = async {
        assert!(!progress.take_response_progress(), "nothing has arrived");
        let mut stream = accept_and_write(&listener, b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n").await;
        for part in [b"", b"o".as_slice(), b"k"] {
            stream.write_all(part).await.expect("the part is written");
            while !progress.take_response_progress() {
                tokio::task::yield_now().await;
            }
        }
        stream
    };
    let request = Request::get("/").body(Full::default()).expect("a request");
    let test = async {
        let deadline = Instant::now() + LONG_TIMEOUT;
        let sent = client.send_attempt(SERVER, request, deadline, &progress);
        timeout(CONNECT_TIMEOUT, async { tokio::join!(sent, server) }).await
    };

    let (result, _stream) = LocalSet::new().run_until(test).await.expect("progress for each part");

    assert_eq!(result.outcome, Outcome::Success);
}

/// Guards against a truncated body that is served as complete, and against a complete one that is lost. The
/// agent has read the whole body by the time at which the connection ends in either way.
#[tokio::test(start_paused = true)]
async fn a_response_without_a_length_is_complete_only_at_the_orderly_end_of_its_connection() {
    for (is_reset, outcome) in [(false, Outcome::Success), (true, Outcome::ConnectionReset)] {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let client = client_of(&listener);
        let server = async {
            let stream = accept_and_write(&listener, b"HTTP/1.1 200 OK\r\n\r\nbody").await;
            sleep_until(Instant::now() + Duration::from_secs(1)).await;
            if is_reset {
                stream.set_zero_linger().expect("an option");
            }
        };

        let test = async { tokio::join!(send_request(&client), server) };
        let (result, ()) = LocalSet::new().run_until(test).await;

        assert_eq!(result.outcome, outcome);
        assert_eq!(result.response.is_some(), !is_reset);
    }
}

/// Guards against a server that counts as failing because its load reports have no length.
#[tokio::test(start_paused = true)]
async fn a_load_report_without_a_length_is_read() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let client = reporting_client_of(&listener, vec!["inflight".to_owned()]);
    let test = async {
        let report = accept_and_write(&listener, b"HTTP/1.1 200 OK\r\n\r\nTEXT inflight=7");
        let server = async { drop(report.await) };
        let (check, ()) = tokio::join!(client.check_health(SERVER), server);

        assert_eq!(check.outcome, Outcome::Success);
        assert_eq!(check.load_report.expect("a load report").values(), [7.0]);
    };
    LocalSet::new().run_until(test).await;
}

/// Creates a listener whose connections buffer very few bytes before the receiver reads.
fn slow_listener() -> TcpListener {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    // Small segments keep the send buffer of the client small as well.
    socket.set_tcp_mss(88).expect("an option");
    socket.set_recv_buffer_size(2048).expect("an option");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
    socket.listen(1).expect("a listener");
    socket.set_nonblocking(true).expect("an option");
    TcpListener::from_std(socket.into()).expect("a listener")
}

/// Accepts a connection, starts to read from it at `start`, and returns the number of bytes received.
async fn read_after(listener: &TcpListener, start: Instant) -> usize {
    let (mut stream, _) = listener.accept().await.expect("a connection");
    sleep_until(start).await;
    let mut bytes = Vec::new();
    // The loop also ends when the connection is reset.
    while bytes.len() <= MAX_BODY_BYTES && stream.read_buf(&mut bytes).await.is_ok_and(|length| length > 0) {}
    bytes.len()
}

/// Guards against a retry that is written completely after its write deadline, when servers no longer
/// recognise it as a retry. The server starts to read after that deadline and must not receive the whole
/// request.
#[tokio::test(start_paused = true)]
async fn a_retry_that_is_still_being_written_at_its_write_deadline_is_never_written_completely() {
    let listener = slow_listener();
    let client = client_of(&listener);
    let request =
        Request::post("/").body(Full::new(Bytes::from(vec![b'b'; MAX_BODY_BYTES]))).expect("a request");
    let started_at = Instant::now();
    let progress = AttemptProgress::new(Some(started_at + Duration::from_secs(5)));
    let attempt = client.send_attempt(SERVER, request, started_at + LONG_TIMEOUT, &progress);
    let server = read_after(&listener, started_at + Duration::from_secs(6));

    let test = async { tokio::join!(attempt, server) };
    let (result, received) = LocalSet::new().run_until(test).await;

    assert!(received <= MAX_BODY_BYTES, "the server received the whole request");
    assert_eq!(result.outcome, Outcome::ConnectFailed, "the request never ran");
}
