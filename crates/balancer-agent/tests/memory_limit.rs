//! Tests that nothing that clients and servers send takes the process beyond its memory limit, and that other
//! clients get their final responses meanwhile.

mod common;
use common::agent::Agent;
use common::config::{AgentConfig, RequestClass};
use common::crowd::{Crowd, CrowdClient};
use common::discovery::{up_entry, TestDiscovery};
use common::messages::{get_request, ok_response, post_request, Message};
use common::server::{ServerReply, TestServer};
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};
use tokio::sync::{Mutex, MutexGuard};
use tokio::time::sleep;

/// The least memory that a deployment gives the process, in MB (TERMS page).
const MEMORY_LIMIT_MB: u64 = 32;
/// The most descriptors that a deployment gives the process (DEPLOY page).
const SOCKET_LIMIT: usize = 1_024;
/// The number of clients of a crowd, which leaves some of the connection slots to others.
const CROWD_SIZE: usize = 450;
/// The number of servers of the largest fleet (STANDING page).
const LARGEST_FLEET: usize = 3_200;
/// A number of agents that forward all requests at once, because they outnumber the servers.
const AGENTS: u64 = 5_000;
/// The size of the longest body, in bytes (PROTOCOL page).
const MAX_BODY_BYTES: usize = 64 << 10;
/// How long the servers of the tests work on a request with a long response.
const WORK_TIME: Duration = Duration::from_millis(800);
/// The time that a quiet client gives a request, and how much later its final response may come (STANDING page).
const QUIET_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_LATENESS: Duration = Duration::from_millis(500);

/// The tests run one after the other, because each uses hundreds of descriptors and a whole core.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// An agent with the least memory, and servers that respond to paths: `/long` and `/long-head` after [`WORK_TIME`]
/// with the longest body, `/endless` without an end, `/silent` never, and to all others at once.
struct Scenario {
    agent: Agent,
    _servers: Vec<TestServer>,
    _turn: MutexGuard<'static, ()>,
}

impl Scenario {
    /// Starts one of `balancer_count` agents with an endpoint list of `server_count` servers, of which only the
    /// first one listens.
    async fn start_with(server_count: usize, balancer_count: u64) -> Self {
        let turn = ONE_AT_A_TIME.lock().await;
        common::raise_descriptor_limit();
        let server = TestServer::start(reply).await;
        let discovery = TestDiscovery::silent().await;
        let addresses =
            (0..server_count).map(|number| SocketAddr::new(loopback_ip(number), server.address.port()));
        let names = (0..server_count).map(|number| format!("server-{number}"));
        let entries: Vec<_> = names.zip(addresses).map(|(name, address)| up_entry(&name, address)).collect();
        let config = AgentConfig::new(discovery.address, &entries)
            .with_memory_limit_mb(MEMORY_LIMIT_MB)
            .with_socket_limit(SOCKET_LIMIT)
            .with_balancer_count(balancer_count)
            .with_class_timeout_ms(RequestClass::Read, 2_000)
            .with_class_timeout_ms(RequestClass::Pay, 2_000);
        let agent = Agent::start(&config).await;
        Scenario { agent, _servers: vec![server], _turn: turn }
    }

    /// Sends the requests of a crowd, and lets a quiet client send requests for `time` meanwhile.
    async fn crowd(&self, client: impl Fn(usize) -> CrowdClient, time: Duration) -> Crowd {
        let crowd = Crowd::send(self.agent.address, (0..CROWD_SIZE).map(client));
        let (crowd, ()) = tokio::join!(crowd, self.send_quiet_requests(time));
        crowd
    }

    /// Sends small requests one after the other. Each gets its final response in time.
    async fn send_quiet_requests(&self, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            let sent_at = Instant::now();
            let request = get_request("/read/quick", &format!("{}m", QUIET_TIMEOUT.as_millis()));
            let response = self.agent.exchange(&request).await;
            let elapsed = sent_at.elapsed();
            assert!([200, 429].contains(&response.status()), "{}", response.first_line());
            assert!(elapsed <= QUIET_TIMEOUT + MAX_LATENESS, "the response took {elapsed:?}");
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Asserts that the limit has held, and that the agent serves requests again.
    async fn assert_limit_held(&self) {
        let limit_kb = MEMORY_LIMIT_MB as usize * 1_000_000 / 1_024;
        let peak_kb = self.agent.peak_memory_kb();
        println!("peak: {peak_kb} kB of {limit_kb}");
        assert!(peak_kb <= limit_kb, "the peak was {peak_kb} kB, the limit is {limit_kb} kB");
        let served = common::within_time_limit("a served request", async {
            while self.agent.exchange(&get_request("/read/quick", "1000m")).await.status() != 200 {
                sleep(Duration::from_millis(20)).await;
            }
        });
        served.await;
    }
}

/// Returns the loopback address with this number, counted from 127.0.0.1.
fn loopback_ip(number: usize) -> IpAddr {
    let [high, low] = (number as u16 + 1).to_be_bytes();
    IpAddr::from([127, 0, high, low])
}

fn reply(request: &Message) -> ServerReply {
    let path = request.target();
    if path.ends_with("/long") {
        ServerReply::Delayed(WORK_TIME, ok_response(&"y".repeat(MAX_BODY_BYTES)))
    } else if path.ends_with("/long-head") {
        ServerReply::Delayed(WORK_TIME, response_with_long_head())
    } else if path.ends_with("/endless") {
        ServerReply::Endless
    } else if path.ends_with("/silent") {
        ServerReply::Silent
    } else {
        ServerReply::KeepOpen(ok_response("x"))
    }
}

/// Returns a response with a head of nearly 16 KiB and the longest body.
fn response_with_long_head() -> Vec<u8> {
    let fields: Vec<String> = (0..90).map(|number| format!("X{number}: {}\r\n", "v".repeat(160))).collect();
    let fields = fields.concat();
    let head = format!(
        "HTTP/1.1 200 OK\r\n{fields}Content-Type: text/plain\r\nContent-Length: {MAX_BODY_BYTES}\r\n\r\n"
    );
    (head + &long_body()).into_bytes()
}

fn long_body() -> String {
    "b".repeat(MAX_BODY_BYTES)
}

/// Returns a request with the longest body, of which the last bytes are missing.
fn halted_body() -> Vec<u8> {
    let mut request = post_request("/pay/halted", "2000m", &long_body()).into_bytes();
    request.truncate(request.len() - 536);
    request
}

/// Returns a request whose head has this many fields of `value_length` bytes each.
fn request_with_fields(path: &str, count: usize, value_length: usize) -> String {
    let value = "v".repeat(value_length);
    let fields: Vec<String> = (0..count).map(|number| format!("X{number}: {value}\r\n")).collect();
    get_request(path, "2000m").replacen("\r\n", &format!("\r\n{}", fields.concat()), 1)
}

/// Returns one of the clients of a mixed crowd.
fn mixed_client(number: usize) -> CrowdClient {
    match number % 5 {
        0 => CrowdClient::sending(halted_body()),
        1 => CrowdClient::with_small_buffers(post_request("/pay/long", "2000m", &long_body())),
        2 => CrowdClient::sending(request_with_fields("/read/quick", 3_200, 2)),
        3 => CrowdClient::sending(request_with_fields("/read/long", 90, 160)),
        _ => CrowdClient::with_small_buffers(get_request("/read/long", "2000m")),
    }
}

/// Asserts that the limit holds while a crowd of these clients is connected and a quiet client sends requests:
/// for the only agent of a service, and for one of many, which forwards all requests at once.
async fn assert_limit_holds_with(client: impl Fn(usize) -> CrowdClient) {
    for balancer_count in [1, AGENTS] {
        let scenario = Scenario::start_with(1, balancer_count).await;
        let crowd = scenario.crowd(&client, Duration::from_millis(2_500)).await;
        drop(crowd);
        scenario.assert_limit_held().await;
    }
}

#[tokio::test]
async fn clients_that_stop_within_their_bodies() {
    let scenario = Scenario::start_with(1, AGENTS).await;
    for _ in 0..2 {
        let crowd =
            scenario.crowd(|_| CrowdClient::sending(halted_body()), Duration::from_millis(2_500)).await;
        drop(crowd);
    }
    scenario.assert_limit_held().await;
}

#[tokio::test]
async fn whole_bodies_at_once_and_long_responses_that_are_not_read() {
    let request = |_| CrowdClient::with_small_buffers(post_request("/pay/long", "2000m", &long_body()));
    assert_limit_holds_with(request).await;
}

#[tokio::test]
async fn long_responses_to_small_requests_that_are_not_read() {
    let request = |_| CrowdClient::with_small_buffers(get_request("/read/long", "2000m"));
    assert_limit_holds_with(request).await;
}

#[tokio::test]
async fn large_heads_of_requests_in_flight() {
    let request = |_| CrowdClient::sending(request_with_fields("/read/silent", 90, 160));
    assert_limit_holds_with(request).await;
}

#[tokio::test]
async fn heads_of_very_many_short_fields_and_heads_that_never_end() {
    let client = |number| {
        let request = request_with_fields("/read/quick", 3_200, 2);
        let whole_head = number % 2 == 0;
        CrowdClient::sending(if whole_head { &request } else { &request[..15_000] })
    };
    assert_limit_holds_with(client).await;
}

#[tokio::test]
async fn pipelined_requests_behind_responses_that_are_not_read() {
    let client = |_| {
        let requests: String = (0..40).map(|_| get_request("/read/long", "2000m")).collect();
        CrowdClient::with_small_buffers(requests)
    };
    assert_limit_holds_with(client).await;
}

/// The attempts of clients that have reset their connections go on until their deadlines.
#[tokio::test]
async fn attempts_whose_clients_have_left() {
    let scenario = Scenario::start_with(1, AGENTS).await;
    for _ in 0..4 {
        let request = |_| CrowdClient::sending(post_request("/pay/silent", "2000m", &long_body()));
        scenario.crowd(request, Duration::from_millis(300)).await.reset();
    }
    scenario.assert_limit_held().await;
}

#[tokio::test]
async fn responses_that_never_end() {
    let request = |_| CrowdClient::sending(get_request("/read/endless", "2000m"));
    assert_limit_holds_with(request).await;
}

#[tokio::test]
async fn responses_with_long_heads_that_arrive_at_once() {
    let request = |_| CrowdClient::with_small_buffers(get_request("/read/long-head", "2000m"));
    assert_limit_holds_with(request).await;
}

/// A crowd of several kinds of clients leaves and comes back at once, four times.
#[tokio::test]
async fn a_mixed_crowd_that_comes_back() {
    let scenario = Scenario::start_with(1, AGENTS).await;
    for _ in 0..4 {
        let crowd = scenario.crowd(mixed_client, Duration::from_millis(1_500)).await;
        drop(crowd);
    }
    scenario.assert_limit_held().await;
}

/// The endpoint list names as many servers as the largest fleet. All but one refuse connections.
#[tokio::test]
async fn a_mixed_crowd_beside_the_largest_fleet() {
    let scenario = Scenario::start_with(LARGEST_FLEET, 1).await;
    for _ in 0..2 {
        let crowd = Crowd::send(scenario.agent.address, (0..CROWD_SIZE).map(mixed_client)).await;
        sleep(Duration::from_millis(1_500)).await;
        drop(crowd);
    }
    scenario.assert_limit_held().await;
}

/// More clients than the agent has connection slots for. The others wait to be accepted.
#[tokio::test]
async fn a_mixed_crowd_that_exceeds_the_connection_slots() {
    let scenario = Scenario::start_with(1, AGENTS).await;
    for _ in 0..2 {
        let clients = (0..SOCKET_LIMIT).map(mixed_client);
        let crowd = Crowd::send(scenario.agent.address, clients).await;
        sleep(Duration::from_secs(2)).await;
        drop(crowd);
    }
    scenario.assert_limit_held().await;
}
