//! A scripted discovery service that reports each call to the test, and the endpoint lists that it serves.

use super::messages::{ok_response, read_message};
use super::within_time_limit;
use serde_json::{json, Value};
use std::net::SocketAddr;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

/// The start time, in Unix milliseconds, of a server process newer than that of [`endpoint_entry`].
pub const NEW_INCARNATION_MS: u64 = 1_700_000_000_000;

const CHANNEL_CAPACITY: usize = 1024;
const UNAVAILABLE: &[u8] = b"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n";

/// The health of a server in an endpoint list.
#[derive(Clone, Copy)]
pub enum Health {
    /// It accepts requests.
    Up,
    /// It finishes its open requests and accepts no new ones.
    Draining,
    /// It has been removed.
    Removed,
}

impl Health {
    fn as_str(self) -> &'static str {
        match self {
            Health::Up => "up",
            Health::Draining => "draining",
            Health::Removed => "removed",
        }
    }
}

/// An entry of an endpoint list, as JSON that a test may alter.
pub fn endpoint_entry(name: &str, address: SocketAddr, health: Health) -> Value {
    json!({"host": name, "dial": address.to_string(), "site": "a", "class": "m", "block": 0,
           "health": health.as_str(), "share": 1.0, "born_ms": 0})
}

/// The entry of a server that is up.
pub fn up_entry(name: &str, address: SocketAddr) -> Value {
    endpoint_entry(name, address, Health::Up)
}

/// A complete endpoint list.
pub fn endpoint_list(version: u64, entries: &[Value]) -> Value {
    json!({"seq": version, "whole": true, "hosts": entries})
}

/// What the discovery service does with a call.
#[derive(Clone)]
pub enum DiscoveryBehavior {
    /// Answers with this list; a watch is answered only once the list is newer than the version that the
    /// watch names.
    Serve(Value),
    /// Answers with an error.
    Fail,
    /// Does not answer.
    Silent,
}

impl DiscoveryBehavior {
    /// Whether a call that names this version, or none, is handled now.
    fn is_due(&self, known_version: Option<u64>) -> bool {
        match (self, known_version) {
            (DiscoveryBehavior::Serve(list), Some(known_version)) => {
                list["seq"].as_u64() > Some(known_version)
            }
            _ => true,
        }
    }

    fn response(&self) -> Option<Vec<u8>> {
        match self {
            DiscoveryBehavior::Serve(list) => Some(ok_response(&list.to_string())),
            DiscoveryBehavior::Fail => Some(UNAVAILABLE.to_vec()),
            DiscoveryBehavior::Silent => None,
        }
    }
}

/// A running discovery service.
pub struct TestDiscovery {
    /// The address that it listens on.
    pub address: SocketAddr,
    behavior: watch::Sender<DiscoveryBehavior>,
    calls: mpsc::Receiver<String>,
}

impl TestDiscovery {
    /// Starts a discovery service with this behavior. It runs until the end of the test, even if this value
    /// is dropped.
    pub async fn start(behavior: DiscoveryBehavior) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (call_sender, calls) = mpsc::channel(CHANNEL_CAPACITY);
        let behavior = watch::Sender::new(behavior);
        tokio::spawn(accept_connections(listener, behavior.clone(), call_sender));
        TestDiscovery { address, behavior, calls }
    }

    /// Starts a discovery service that answers no call.
    pub async fn silent() -> Self {
        Self::start(DiscoveryBehavior::Silent).await
    }

    /// Starts a discovery service that has nothing newer than the agent's known list of version 1.
    pub async fn without_updates() -> Self {
        Self::start(DiscoveryBehavior::Serve(endpoint_list(1, &[]))).await
    }

    /// Changes the behavior for open and future calls.
    pub fn set_behavior(&self, behavior: DiscoveryBehavior) {
        self.behavior.send_replace(behavior);
    }

    /// Serves a complete list from now on.
    pub fn publish(&self, version: u64, entries: &[Value]) {
        self.set_behavior(DiscoveryBehavior::Serve(endpoint_list(version, entries)));
    }

    /// Serves a list of changes from now on.
    pub fn publish_changes(&self, version: u64, entries: &[Value]) {
        let changes = json!({"seq": version, "whole": false, "hosts": entries});
        self.set_behavior(DiscoveryBehavior::Serve(changes));
    }

    /// Waits for the next call and returns its target.
    pub async fn next_call(&mut self) -> String {
        within_time_limit("a call to discovery", self.calls.recv()).await.expect("a call")
    }

    /// Discards the calls that the test has not read.
    pub fn discard_calls(&mut self) {
        while self.calls.try_recv().is_ok() {}
    }
}

async fn accept_connections(
    listener: TcpListener,
    behavior: watch::Sender<DiscoveryBehavior>,
    calls: mpsc::Sender<String>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve_connection(stream, behavior.subscribe(), calls.clone()));
    }
}

async fn serve_connection(
    mut stream: TcpStream,
    mut behavior: watch::Receiver<DiscoveryBehavior>,
    calls: mpsc::Sender<String>,
) {
    while let Some(request) = read_message(&mut stream, 0).await {
        let target = request.target().to_owned();
        // Fails if the test has dropped its `TestDiscovery`, as it does not check the calls.
        let _ = calls.send(target.clone()).await;
        let Some(response) = due_response(&mut behavior, known_version(&target)).await else { continue };
        if stream.write_all(&response).await.is_err() {
            return;
        }
    }
}

/// Waits for a behavior that handles the call. Returns the response; `None` if it leaves the call unanswered.
async fn due_response(
    behavior: &mut watch::Receiver<DiscoveryBehavior>,
    known_version: Option<u64>,
) -> Option<Vec<u8>> {
    let due_behavior = behavior.wait_for(|behavior| behavior.is_due(known_version)).await;
    due_behavior.expect("a behavior").response()
}

/// The version that a watch names; `None` for a call that is no watch.
fn known_version(target: &str) -> Option<u64> {
    let (_, value) = target.split_once("after=")?;
    value.split('&').next()?.parse().ok()
}
