//! Client connections: reuse, pipelining, slow senders, and the limits on idle, silent and flooding clients.

mod common;
use common::agent::{Agent, PROGRAM};
use common::config::{AgentConfig, ConfigFile};
use common::discovery::{up_entry, TestDiscovery};
use common::messages::{chunked_post_request, get_request, ok_response, post_request};
use common::server::{ResponseGate, ServerReply, TestServer};
use common::setup::{start_agent, start_agent_with_few_sockets, SERVER_NAME};
use std::process::Stdio;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::process::Command;

/// Pipelined requests are answered one by one, in order.
#[tokio::test]
async fn pipelined_requests_are_answered_in_order() {
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

/// A request that is received slowly, in small pieces, is served.
#[tokio::test]
async fn a_request_received_in_small_pieces_is_served() {
    let mut server = TestServer::responding_with("x").await;
    let agent = start_agent(server.address).await;
    let mut client = agent.connect().await;
    client.stream.set_nodelay(true).expect("an option");

    for piece in post_request("/save/x", "5000m", "the body").as_bytes().chunks(20) {
        client.stream.write_all(piece).await.expect("the bytes are written");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }

    assert_eq!(client.receive().await.status(), 200);
    assert_eq!(server.next_request().await.body, b"the body");
}

/// A second request on the connection of a chunked one is answered as well.
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

/// Clients open more connections than the agent can hold. Half stay idle after one request, and half never
/// send a byte. The agent closes enough of them to serve each new client in time.
#[tokio::test]
async fn idle_and_silent_connections_are_closed_to_make_room() {
    let server = TestServer::responding_with("x").await;
    let agent = start_agent_with_few_sockets(server.address).await;

    let mut clients = Vec::new();
    for _ in 0..60 {
        let mut idle = agent.connect().await;
        let sent = Instant::now();
        assert_eq!(idle.exchange(&get_request("/read", "20000m")).await.status(), 200);
        assert!(sent.elapsed() < Duration::from_secs(10), "{:?}", sent.elapsed());
        clients.push(idle);
        let silent = agent.connect().await;
        clients.push(silent);
    }
}

/// A connection with an open request is not evicted when all slots are in use.
#[tokio::test]
async fn a_connection_with_an_open_request_is_not_evicted() {
    let other_reply = ServerReply::KeepOpen(ok_response("x"));
    let gate = ResponseGate::default();
    let mut server = TestServer::holding_payments(&gate, ok_response("paid"), other_reply).await;
    let agent = start_agent_with_few_sockets(server.address).await;
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

/// Sends a request followed by excess bytes, and disconnects at once by a reset or a close.
async fn send_excess_bytes(agent: &Agent, excess: &[u8], is_reset: bool) {
    let mut client = agent.send_request(&get_request("/read/flood", "20000m")).await;
    // Fails if the agent closes the connection before all bytes are written.
    let _ = client.stream.write_all(excess).await;
    if is_reset {
        client.stream.set_zero_linger().expect("an option");
    }
}

/// More clients than the agent can hold connections send excess bytes after a request and disconnect. Valid
/// requests are still served, memory use stays low, and no excess bytes are forwarded.
#[tokio::test]
async fn a_flood_of_excess_bytes_exhausts_neither_connections_nor_memory() {
    let mut server = TestServer::responding_with("x").await;
    let agent = start_agent_with_few_sockets(server.address).await;
    let excess = vec![b'x'; 256 << 10];

    for number in 0..100 {
        send_excess_bytes(&agent, &excess, number % 2 == 0).await;
        if number % 10 == 0 {
            let sent = Instant::now();
            assert_eq!(agent.get("/read/good").await.status(), 200);
            assert!(sent.elapsed() < Duration::from_secs(10), "{:?}", sent.elapsed());
        }
    }

    assert!(agent.peak_memory_kb() < 32 << 10, "{} kB", agent.peak_memory_kb());
    while let Ok(request) = server.requests.try_recv() {
        let line = request.first_line();
        assert!(matches!(line, "GET /read/flood HTTP/1.1" | "GET /read/good HTTP/1.1"), "{line}");
    }
}

/// A command that starts the agent with 40 file descriptors.
fn command_with_few_descriptors(config_file: &ConfigFile) -> Command {
    let mut command = Command::new("sh");
    command
        .args(["-c", "ulimit -n 40; exec \"$0\"", PROGRAM])
        .env("PROXY_CONFIG", config_file.path())
        .stderr(Stdio::piped())
        .kill_on_drop(true);
    command
}

/// While no file descriptor is free the agent keeps running, and it accepts connections again once some are.
#[tokio::test]
async fn the_agent_recovers_from_running_out_of_file_descriptors() {
    let server = TestServer::responding_with("x").await;
    let discovery = TestDiscovery::silent().await;
    // The configuration states more descriptors than the process may open.
    let config = AgentConfig::new(discovery.address, &[up_entry(SERVER_NAME, server.address)]);
    let config_file = ConfigFile::create(&config.to_text());
    let mut agent = Agent::spawn(command_with_few_descriptors(&config_file), config_file).await;

    let mut clients = Vec::new();
    for _ in 0..60 {
        clients.push(agent.connect().await);
    }
    // The agent has accepted the first connections. The last one is in the backlog and has no descriptor in
    // the agent.
    let mut last = clients.pop().expect("a connection");
    last.send(&get_request("/read", "60000m")).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    drop(clients);

    assert_eq!(last.receive().await.status(), 200);
    assert!(agent.process.try_wait().expect("a status").is_none(), "the agent has exited");
}
