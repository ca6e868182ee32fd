//! A discovery service whose responses the test controls, and the endpoint lists that it serves.

use super::messages::{ok_response, read_message};
use super::within_time_limit;
use serde_json::{json, Value};
use std::net::SocketAddr;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

/// The start time, in Unix milliseconds, of a new process of a server. Entries from [`endpoint_entry`] have
/// an earlier start time.
pub const NEW_INCARNATION_START_MS: u64 = 1_700_000_000_000;

/// The maximum number of calls that the test has not read. Further calls wait.
const CHANNEL_CAPACITY: usize = 1024;
const UNAVAILABLE_503: &[u8] = b"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n";

/// The health of a server in an endpoint list.
#[derive(Clone, Copy)]
pub enum Health {
    /// The server accepts requests.
    Up,
    /// The server completes its open requests and accepts no new ones.
    Draining,
    /// The server has been removed from the fleet.
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

/// Returns an entry of an endpoint list as JSON, which a test may change.
pub fn endpoint_entry(name: &str, address: SocketAddr, health: Health) -> Value {
    json!({"host": name, "dial": address.to_string(), "site": "a", "class": "m", "block": 0,
           "health": health.as_str(), "share": 1.0, "born_ms": 0})
}

/// Returns the entry of a server that is up.
pub fn up_entry(name: &str, address: SocketAddr) -> Value {
    endpoint_entry(name, address, Health::Up)
}

/// Returns a complete endpoint list as JSON.
pub fn endpoint_list(version: u64, entries: &[Value]) -> Value {
    json!({"seq": version, "whole": true, "hosts": entries})
}

/// How the discovery service handles a call.
#[derive(Clone)]
pub enum DiscoveryBehaviour {
    /// The service responds with this list. A watch gets the response only once the list is newer than the
    /// version that the watch names.
    Serve(Value),
    /// The service responds with an error.
    Fail,
    /// The service sends no response.
    Silent,
}

impl DiscoveryBehaviour {
    /// Returns whether a call can be handled now. `known_version` is the version that a watch names, or
    /// `None` if the call is not a watch.
    fn can_handle(&self, known_version: Option<u64>) -> bool {
        match (self, known_version) {
            (DiscoveryBehaviour::Serve(list), Some(known_version)) => {
                list["seq"].as_u64() > Some(known_version)
            }
            _ => true,
        }
    }

    /// Returns the response to a call, or `None` if the service sends none.
    fn response(&self) -> Option<Vec<u8>> {
        match self {
            DiscoveryBehaviour::Serve(list) => Some(ok_response(&list.to_string())),
            DiscoveryBehaviour::Fail => Some(UNAVAILABLE_503.to_vec()),
            DiscoveryBehaviour::Silent => None,
        }
    }
}

/// A running discovery service.
pub struct TestDiscovery {
    /// The address that the service listens on.
    pub address: SocketAddr,
    behaviour: watch::Sender<DiscoveryBehaviour>,
    /// The targets of the calls that have been received and not read by the test.
    calls: mpsc::Receiver<String>,
}

impl TestDiscovery {
    /// Starts a discovery service with this behaviour. The service runs until the end of the test, even if
    /// the returned value is dropped.
    pub async fn start(behaviour: DiscoveryBehaviour) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port should be free");
        let address = listener.local_addr().expect("the listener should have an address");
        let (call_sender, calls) = mpsc::channel(CHANNEL_CAPACITY);
        let behaviour = watch::Sender::new(behaviour);
        tokio::spawn(accept_connections(listener, behaviour.clone(), call_sender));
        TestDiscovery { address, behaviour, calls }
    }

    /// Starts a discovery service that sends no responses.
    pub async fn silent() -> Self {
        Self::start(DiscoveryBehaviour::Silent).await
    }

    /// Starts a discovery service whose list has version 1, which the agent already knows. A watch therefore
    /// gets no response.
    pub async fn without_updates() -> Self {
        Self::start(DiscoveryBehaviour::Serve(endpoint_list(1, &[]))).await
    }

    /// Sets the behaviour for open and future calls.
    pub fn set_behaviour(&self, behaviour: DiscoveryBehaviour) {
        self.behaviour.send_replace(behaviour);
    }

    /// Serves a complete list with these entries from now on.
    pub fn publish(&self, version: u64, entries: &[Value]) {
        self.set_behaviour(DiscoveryBehaviour::Serve(endpoint_list(version, entries)));
    }

    /// Serves a list of changes with these entries from now on.
    pub fn publish_changes(&self, version: u64, entries: &[Value]) {
        let changes = json!({"seq": version, "whole": false, "hosts": entries});
        self.set_behaviour(DiscoveryBehaviour::Serve(changes));
    }

    /// Waits for the next call and returns its request target.
    pub async fn next_call(&mut self) -> String {
        within_time_limit("a call to discovery", self.calls.recv())
            .await
            .expect("the discovery service should be running")
    }

    /// Discards the calls that have been received and not read by the test.
    pub fn discard_calls(&mut self) {
        while self.calls.try_recv().is_ok() {}
    }
}

/// Accepts connections until the test ends, and serves each connection in its own task.
async fn accept_connections(
    listener: TcpListener,
    behaviour: watch::Sender<DiscoveryBehaviour>,
    calls: mpsc::Sender<String>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve_connection(stream, behaviour.subscribe(), calls.clone()));
    }
}

/// Reports the calls of a connection to the test, and responds to them according to the behaviour.
async fn serve_connection(
    mut stream: TcpStream,
    mut behaviour: watch::Receiver<DiscoveryBehaviour>,
    calls: mpsc::Sender<String>,
) {
    while let Some(request) = read_message(&mut stream, 0).await {
        let target = request.target().to_owned();
        // Sending fails if the test has dropped its `TestDiscovery` because it does not check the calls.
        let _ = calls.send(target.clone()).await;
        let Some(response) = wait_for_response(&mut behaviour, known_version(&target)).await else {
            continue;
        };
        if stream.write_all(&response).await.is_err() {
            return;
        }
    }
}

/// Waits until the behaviour can handle the call, and returns the response, or `None` if the call gets none.
async fn wait_for_response(
    behaviour: &mut watch::Receiver<DiscoveryBehaviour>,
    known_version: Option<u64>,
) -> Option<Vec<u8>> {
    let current_behaviour = behaviour.wait_for(|behaviour| behaviour.can_handle(known_version)).await;
    current_behaviour.expect("the sender of the behaviour should be open").response()
}

/// Returns the version that a watch names in its request target, or `None` if the call is not a watch.
fn known_version(target: &str) -> Option<u64> {
    let (_, value) = target.split_once("after=")?;
    value.split('&').next()?.parse().ok()
}
