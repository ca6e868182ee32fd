//! When the agent closes a client connection, and that no response is cut off by the close.

mod common;
use common::*;
use serde_json::Value;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpSocket;
use tokio::time::sleep;

async fn limited_world(sockets: usize) -> (Backend, Directory, Agent) {
    let backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let directory = Directory::start(Mood::Mute).await;
    let mut config = config(directory.address, &[host("s", backend.address, "up")]);
    config["limits"]["sockets"] = sockets.into();
    let agent = Agent::with(config, |_| {}).await;
    (backend, directory, agent)
}

/// Past the time in which new connections are taken, and well before SIGKILL with deadlines of 3 s.
const LATER: Duration = Duration::from_millis(1_000);

/// An agent whose clients wait for long, with one backend that is told of and a discovery that is silent.
async fn world(backend: &Backend, adapt: impl FnOnce(&mut Value)) -> (Directory, Agent) {
    let directory = Directory::start(Mood::Mute).await;
    let mut config = config(directory.address, &[host("s", backend.address, "up")]);
    for class in config["settings"]["classes"].as_array_mut().expect("classes") {
        class["deadlineMs"] = 60_000.into();
    }
    adapt(&mut config);
    let agent = Agent::with(config, |_| {}).await;
    (directory, agent)
}

/// A client that takes in next to nothing until it reads, and has asked for an answer that does not fit.
async fn slow_reader(agent: &Agent) -> Client {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    // With small segments the agent's side of the connection takes in little as well.
    socket.set_tcp_mss(88).expect("an option");
    socket.set_recv_buffer_size(2048).expect("an option");
    socket.set_nonblocking(true).expect("an option");
    let socket = TcpSocket::from_std_stream(socket.into());
    let mut client = Client { stream: socket.connect(agent.address).await.expect("a connection") };
    client.send(&request("GET", "/read/large", "60000m", "")).await;
    let mut first = [0];
    soon("an answer", client.stream.peek(&mut first)).await.expect("the answer has begun");
    client
}

fn large() -> Vec<u8> {
    ok(&"x".repeat(64 << 10))
}

/// Where clients leave one connection behind after the other, faster than idle ones grow old, an answer closes its
/// connection and says so; with few connections none does.
#[tokio::test]
async fn responses_close_their_connections_when_connections_run_short() {
    let (_backend, _directory, agent) = limited_world(80).await;
    let mut kept = Vec::new();
    loop {
        let mut client = agent.client().await;
        let answer = client.ask(&request("GET", "/read", "20000m", "")).await;
        assert_eq!(answer.status(), 200);
        if answer.header("connection") == Some("close") {
            client.closed().await;
            break;
        }
        kept.push(client);
        assert!(kept.len() < 80, "more than the agent has descriptors");
    }
    assert!(kept.len() >= 5, "few connections are all kept");
}

/// A connection whose answer is on its way is not idle, and no place is won by closing it.
#[tokio::test]
async fn a_connection_with_an_unfinished_response_is_not_idle() {
    let backend =
        Backend::start(|m| Reply::Bytes(if m.head.contains("/large") { large() } else { ok("x") })).await;
    // A quarter of the places is taken, so the first that are idle close after 2.05 s.
    let (_directory, agent) = world(&backend, |config| config["limits"]["sockets"] = 80.into()).await;
    let mut client = slow_reader(&agent).await;
    let mut idle = Vec::new();
    for _ in 0..9 {
        idle.push(agent.client().await);
        let last = idle.last_mut().expect("it is there");
        assert_eq!(last.ask(&request("GET", "/read", "60000m", "")).await.status(), 200);
    }
    for client in idle.iter_mut().take(2) {
        client.closed().await;
    }
    let answer = client.answer().await;
    assert_eq!((answer.status(), answer.body.len()), (200, 64 << 10));
}

/// An answer that its client has not taken in yet is no answer: the agent does not end before it is.
#[tokio::test]
async fn a_slow_client_receives_its_response_before_the_agent_exits() {
    let backend = Backend::start(|_| Reply::Bytes(large())).await;
    let (_directory, mut agent) = world(&backend, |_| {}).await;
    let mut client = slow_reader(&agent).await;
    agent.term().await;
    sleep(LATER).await;
    let answer = client.answer().await;
    assert_eq!((answer.status(), answer.body.len()), (200, 64 << 10));
    client.closed().await;
    assert!(agent.end().await.success());
}

/// The agent has written its last answer and closes, and the client still sends: a close over bytes that nobody reads
/// would reset the connection, and what its client has not taken in by then would be lost.
#[tokio::test]
async fn a_response_survives_request_bytes_that_arrive_during_the_close() {
    let backend = Backend::start(|_| Reply::Bytes(large())).await;
    let (_directory, mut agent) = world(&backend, |_| {}).await;
    let mut client = slow_reader(&agent).await;
    agent.term().await;
    let mut answer = Vec::new();
    let mut part = [0; 64];
    while !closing(agent.address, client.stream.local_addr().expect("an address")) {
        let read = soon("more of the answer", client.stream.read(&mut part)).await;
        answer.extend_from_slice(&part[..read.expect("the answer is cut")]);
    }
    client.stream.write_all(b"x").await.expect("it is written");
    soon("the rest of the answer", client.stream.read_to_end(&mut answer)).await.expect("the answer is cut");
    assert!(answer.ends_with(&[b'x'; 64 << 10]), "{} bytes came", answer.len());
    assert!(agent.end().await.success());
}
