//! Tests of client connections: reuse, pipelining, slow senders, and limits on idle and silent clients and on
//! excess bytes.

mod common;
use common::agent::{Agent, AGENT_EXECUTABLE};
use common::config::{AgentConfig, ConfigFile};
use common::discovery::{up_entry, TestDiscovery};
use common::messages::{chunked_post_request, get_request, ok_response, post_request};
use common::server::{ResponseGate, ServerReply, TestServer};
use common::setup::{start_agent, start_agent_with_low_socket_limit, SERVER_NAME};
use std::process::Stdio;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::process::Command;

/// Pipelined requests get their responses one by one, in the order of the requests.
#[tokio::test]
async fn pipelined_requests_get_responses_in_order() {
    let server = TestServer::start(|request| ServerReply::KeepOpen(ok_response(request.first_line()))).await;
    let agent = start_agent(server.address).await;
    let requests = [
        get_request("/read/1", "5000m"),
        post_request("/save/2", "5000m", "the body"),
        get_request("/read/3", "5000m"),
    ];

    let mut client = agent.send_request(&requests.concat()).await;

    for path in ["/read/1", "/save/2", "/read/3"] {
        let response = client.receive().await;
        assert_eq!(response.status(), 200);
        assert!(String::from_utf8_lossy(&response.body).contains(path), "{path}");
    }
}

/// A request that arrives slowly, in small pieces, is served.
#[tokio::test]
async fn a_request_received_in_small_pieces_is_served() {
    let mut server = TestServer::responding_with("x").await;
    let agent = start_agent(server.address).await;
    let mut client = agent.connect().await;
    client.stream.set_nodelay(true).expect("the socket option should be set");

    for piece in post_request("/save/x", "5000m", "the body").as_bytes().chunks(20) {
        client.stream.write_all(piece).await.expect("the request should be written");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }

    assert_eq!(client.receive().await.status(), 200);
    assert_eq!(server.next_request().await.body, b"the body");
}

/// A second request is served on a connection that has already carried a chunked request.
#[tokio::test]
async fn a_connection_is_reused_after_a_chunked_request() {
    let mut server = TestServer::responding_with("x").await;
    let agent = start_agent(server.address).await;
    let mut client = agent.connect().await;

    for trailer in ["", "X-Trailer: t\r\n"] {
        client.send(&chunked_post_request("/pay", "20000m", "3\r\nabc\r\n")).await;
        client.send(&format!("2;x=y\r\nde\r\n0\r\n{trailer}\r\n")).await;
        assert_eq!(client.receive().await.status(), 200);
        assert_eq!(server.next_request().await.body, b"abcde");
    }
}

/// Clients open more connections than the agent has slots. Half of the connections stay idle after one
/// request, and half never carry a byte. The agent closes enough of them to serve each new client in time.
#[tokio::test]
async fn idle_and_silent_connections_are_closed_to_make_room() {
    let server = TestServer::responding_with("x").await;
    let agent = start_agent_with_low_socket_limit(server.address).await;

    let mut clients = Vec::new();
    for _ in 0..60 {
        let mut idle_client = agent.connect().await;
        let sent_at = Instant::now();
        assert_eq!(idle_client.exchange(&get_request("/read", "20000m")).await.status(), 200);
        assert!(sent_at.elapsed() < Duration::from_secs(10), "the response took {:?}", sent_at.elapsed());
        clients.push(idle_client);
        let silent_client = agent.connect().await;
        clients.push(silent_client);
    }
}

/// Guards against requests without a response in time because clients that stop within a request hold all
/// slots.
#[tokio::test]
async fn clients_that_stop_within_a_request_keep_no_other_client_from_its_response() {
    const TIMEOUT: Duration = Duration::from_secs(1);
    let server = TestServer::responding_with("x").await;
    let agent = start_agent_with_low_socket_limit(server.address).await;

    let mut stopped_clients = Vec::new();
    for number in 0..100 {
        let request = post_request("/pay", "20000m", "the body");
        let mut client = agent.connect().await;
        // Some of the requests end within their head, others within their body.
        client.send(&request[..request.len() - 1 - number]).await;
        stopped_clients.push(client);
    }

    let sent_at = Instant::now();
    assert_eq!(agent.exchange(&get_request("/read", "1000m")).await.status(), 200);
    assert!(sent_at.elapsed() < TIMEOUT, "the response took {:?}", sent_at.elapsed());
}

/// Guards against a server that is told more time than the client has left, because its request waited for a
/// slot.
#[tokio::test]
async fn the_wait_for_a_slot_is_not_part_of_the_time_that_a_server_is_told() {
    const TIMEOUT: Duration = Duration::from_secs(3);
    // The pages allow this much more than what is left.
    const MAX_EXCESS: Duration = Duration::from_millis(150);
    let mut server = TestServer::responding_with("x").await;
    let agent = start_agent_with_low_socket_limit(server.address).await;

    let mut stopped_clients = Vec::new();
    for _ in 0..120 {
        let mut client = agent.connect().await;
        client.send("GET /read HTTP/1.1\r\n").await;
        stopped_clients.push(client);
    }
    let sent_at = Instant::now();
    assert_eq!(agent.exchange(&get_request("/read", "3000m")).await.status(), 200);
    let elapsed = sent_at.elapsed();

    let request = server.next_request().await;
    let told = request.header("x-timeout").and_then(|value| value.strip_suffix('u')).expect("microseconds");
    let told = Duration::from_micros(told.parse().expect("a number"));
    assert!(elapsed > MAX_EXCESS, "the request did not wait: {elapsed:?}");
    assert!(told + elapsed <= TIMEOUT + MAX_EXCESS, "told {told:?} after {elapsed:?}");
}

/// The agent does not evict a connection with an open request, even when all slots are in use.
#[tokio::test]
async fn a_connection_with_an_open_request_is_not_evicted() {
    let other_reply = ServerReply::KeepOpen(ok_response("x"));
    let gate = ResponseGate::default();
    let mut server = TestServer::holding_payments(&gate, ok_response("paid"), other_reply).await;
    let agent = start_agent_with_low_socket_limit(server.address).await;
    let mut paying_client = agent.send_request(&post_request("/pay", "60000m", "b")).await;
    server.next_request().await;

    let mut silent_clients = Vec::new();
    for _ in 0..60 {
        silent_clients.push(agent.connect().await);
    }
    assert_eq!(agent.get("/read").await.status(), 200);

    gate.release_one();
    assert_eq!(paying_client.receive().await.body, b"paid");
}

/// Sends a request and excess bytes after it, and then disconnects at once with a reset or a close.
async fn send_excess_bytes(agent: &Agent, excess_bytes: &[u8], is_reset: bool) {
    let mut client = agent.send_request(&get_request("/read/flood", "20000m")).await;
    // Writing fails if the agent closes the connection before all bytes have been written.
    let _ = client.stream.write_all(excess_bytes).await;
    if is_reset {
        client.stream.set_zero_linger().expect("the socket option should be set");
    }
}

/// More clients than the agent has connection slots send excess bytes after a request and disconnect. The
/// agent still serves valid requests, uses little memory, and forwards none of the excess bytes.
#[tokio::test]
async fn a_flood_of_excess_bytes_exhausts_neither_connections_nor_memory() {
    let mut server = TestServer::responding_with("x").await;
    let agent = start_agent_with_low_socket_limit(server.address).await;
    let excess_bytes = vec![b'x'; 256 << 10];

    for number in 0..100 {
        send_excess_bytes(&agent, &excess_bytes, number % 2 == 0).await;
        if number % 10 == 0 {
            let sent_at = Instant::now();
            assert_eq!(agent.get("/read/good").await.status(), 200);
            assert!(sent_at.elapsed() < Duration::from_secs(10), "the response took {:?}", sent_at.elapsed());
        }
    }

    assert!(agent.peak_memory_kb() < 32 << 10, "the peak memory is {} kB", agent.peak_memory_kb());
    while let Ok(request) = server.requests.try_recv() {
        let line = request.first_line();
        assert!(matches!(line, "GET /read/flood HTTP/1.1" | "GET /read/good HTTP/1.1"), "{line}");
    }
}

/// Returns a command that starts the agent with a limit of 40 open file descriptors.
fn command_with_few_descriptors(config_file: &ConfigFile) -> Command {
    let mut command = Command::new("sh");
    command
        .args(["-c", "ulimit -n 40; exec \"$0\"", AGENT_EXECUTABLE])
        .env("PROXY_CONFIG", config_file.path())
        .stderr(Stdio::piped())
        .kill_on_drop(true);
    command
}

/// The agent keeps running while no file descriptor is free, and accepts connections again after that.
#[tokio::test]
async fn the_agent_recovers_from_running_out_of_file_descriptors() {
    let server = TestServer::responding_with("x").await;
    let discovery = TestDiscovery::silent().await;
    // The socket limit in the configuration is higher than the limit on file descriptors of the process.
    let config = AgentConfig::new(discovery.address, &[up_entry(SERVER_NAME, server.address)]);
    let config_file = ConfigFile::create(&config.to_text());
    let mut agent = Agent::spawn(command_with_few_descriptors(&config_file), config_file).await;

    let mut clients = Vec::new();
    for _ in 0..60 {
        clients.push(agent.connect().await);
    }
    // The agent has accepted the first connections. The last connection is in the backlog and has no file
    // descriptor in the agent yet.
    let mut last_client = clients.pop().expect("the test should have opened connections");
    last_client.send(&get_request("/read", "60000m")).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    drop(clients);

    assert_eq!(last_client.receive().await.status(), 200);
    assert!(
        agent.process.try_wait().expect("the exit status should be available").is_none(),
        "the agent has exited"
    );
}
