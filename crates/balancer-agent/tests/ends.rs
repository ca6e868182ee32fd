//! Planned ends: what is owed when SIGTERM comes, and what still comes after it, has its answer before the agent ends.

mod common;
use common::*;
use serde_json::Value;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpSocket;
use tokio::sync::Notify;
use tokio::time::sleep;

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

/// An answer that its client has not taken in yet is no answer: the agent does not end before it is.
#[tokio::test]
async fn an_answer_on_its_way_to_a_slow_reader_is_finished_before_the_end() {
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
async fn an_answer_on_its_way_to_a_slow_reader_survives_bytes_that_cross_the_close() {
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

/// A connection whose answer is on its way is not idle, and no place is won by closing it.
#[tokio::test]
async fn an_answer_on_its_way_to_a_slow_reader_does_not_count_as_idle_time() {
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

/// All places are taken and their requests open. What waits in the listener's queue when the time for new connections
/// is over is taken and answered once there is room.
#[tokio::test]
async fn what_waits_in_the_queue_is_taken_and_answered() {
    let word = Arc::new(Notify::new());
    let gate = word.clone();
    let mut backend = Backend::start(move |m| match m.head.contains("/pay") {
        true => Reply::When(gate.clone(), ok("x")),
        false => Reply::Bytes(ok("x")),
    })
    .await;
    let adapt = |config: &mut Value| {
        config["limits"]["sockets"] = 80.into();
        // With this aim they are held for long.
        config["settings"]["classes"][0]["aimMs"] = 30_000.into();
    };
    let (_directory, mut agent) = world(&backend, adapt).await;
    let mut open = Vec::new();
    for _ in 0..2 {
        open.push(agent.client().await);
        open.last_mut().expect("it is there").send(&request("POST", "/pay", "60000m", "b")).await;
        backend.next().await;
    }
    // These are held, for the backend has all that it is thought to bear.
    for _ in 2..28 {
        open.push(agent.client().await);
        open.last_mut().expect("it is there").send(&request("GET", "/read", "60000m", "")).await;
    }
    let mut queue = Vec::new();
    for _ in 0..4 {
        queue.push(agent.client().await);
        queue.last_mut().expect("it is there").send(&request("GET", "/read", "60000m", "")).await;
    }
    agent.term().await;
    sleep(LATER).await;
    word.notify_one();
    word.notify_one();
    for client in open.iter_mut().chain(&mut queue) {
        let answer = client.answer().await;
        assert!(matches!(answer.status(), 200 | 429), "{}", answer.status());
        assert_eq!(answer.header("connection"), Some("close"));
    }
    assert!(agent.end().await.success());
}

/// Clients may wait longer than SIGKILL does. What hangs then is answered as failed before it comes.
#[tokio::test]
async fn what_hangs_past_the_last_moment_is_answered_before_it() {
    let mut backend = Backend::start(|_| Reply::Mute).await;
    let (_directory, mut agent) = world(&backend, |_| {}).await;
    let mut early = agent.client().await;
    early.send(&request("POST", "/pay", "60000m", "b")).await;
    backend.next().await;
    let told = Instant::now();
    agent.term().await;
    let mut late = agent.client().await;
    late.send(&request("POST", "/pay", "60000m", "b")).await;
    backend.next().await;
    for client in [&mut early, &mut late] {
        assert_eq!(client.answer().await.status(), 504);
        client.closed().await;
    }
    // 3.65 s with some room for a machine under load; the deadlines are 60 s.
    assert!(told.elapsed() < Duration::from_secs(15), "{:?}", told.elapsed());
    assert!(agent.end().await.success());
}

/// A connection that has said nothing, one with half a head and one with half a body when SIGTERM comes: each request
/// that becomes whole is answered, after a second SIGTERM too.
#[tokio::test]
async fn what_becomes_whole_after_the_signal_is_answered() {
    let backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let (_directory, mut agent) = world(&backend, |_| {}).await;
    let text = request("POST", "/pay", "60000m", "the body");
    let other = request("POST", "/pay", "60000m", "the body");
    let third = request("POST", "/pay", "60000m", "the body");
    let mut clients = [(0, &text), (40, &other), (third.len() - 3, &third)].map(|(n, text)| (n, text, None));
    for (sent, text, client) in &mut clients {
        let mut connected = agent.client().await;
        connected.send(&text[..*sent]).await;
        *client = Some(connected);
    }
    agent.ready().await;
    agent.term().await;
    for (sent, text, client) in &mut clients {
        agent.term().await;
        let client = client.as_mut().expect("it is there");
        client.send(&text[*sent..]).await;
        let answer = client.answer().await;
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")), "{sent}");
        client.closed().await;
    }
    assert!(agent.end().await.success());
}

/// Nothing keeps the agent from its end for long: neither mute connections nor idle ones.
#[tokio::test]
async fn mute_and_idle_connections_do_not_delay_the_end() {
    let backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let (_directory, mut agent) = world(&backend, |_| {}).await;
    let mut mute = agent.client().await;
    let mut idle = agent.client().await;
    assert_eq!(idle.ask(&request("GET", "/read", "60000m", "")).await.status(), 200);
    let told = Instant::now();
    agent.term().await;
    idle.closed().await;
    assert!(agent.end().await.success());
    mute.closed().await;
    assert!(told.elapsed() >= Duration::from_millis(600), "new connections are taken for a while");
}

/// A new configuration during the end is heeded: what is still open goes by the new discovery.
#[tokio::test]
async fn a_new_configuration_during_the_end_is_heeded() {
    let word = Arc::new(Notify::new());
    let gate = word.clone();
    let mut backend = Backend::start(move |_| Reply::When(gate.clone(), ok("x"))).await;
    let (mut directory, mut new) = (Directory::start(Mood::Mute).await, Directory::start(Mood::Mute).await);
    let mut config = config(directory.address, &[host("s", backend.address, "up")]);
    let mut agent = Agent::with(config.clone(), |_| {}).await;
    directory.next_call().await;
    let mut client = agent.client().await;
    client.send(&request("POST", "/pay", "60000m", "b")).await;
    backend.next().await;
    config["discovery"] = new.address.to_string().into();
    agent.replace(&config.to_string());
    agent.term().await;
    agent.hang_up().await;
    assert_eq!(new.next_call().await, "/v1/endpoints");
    word.notify_one();
    assert_eq!(client.answer().await.status(), 200);
    let mut rest = Vec::new();
    assert_eq!(client.stream.read_to_end(&mut rest).await.expect("a close"), 0);
    assert!(agent.end().await.success());
}
