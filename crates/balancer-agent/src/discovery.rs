//! The watch of the endpoint list at the discovery service.
//!
//! A watch is a series of calls to discovery, each of which waits for changes of the list. The balancer
//! decides when a watch starts, and when it starts again after a failure
//! ([`balancer_core::Action::WatchEndpoints`]). This module makes the calls of the watch.

use crate::endpoint_list::EndpointList;
use crate::http_client::{connect, start_http, ConnectionTask};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// How long a call may wait at discovery until the list changes. A longer wait would delay the detection of a
/// discovery service that has become unreachable.
const MAX_CALL_WAIT: Duration = Duration::from_secs(5);
/// How long a call may take in addition to its wait at discovery. The protocol assumes that the agent is
/// notified of a change no later than 2 s after the end of the wait (PROTOCOL page, "Figures"). If a call
/// fails, the next call must start within these 2 s.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The maximum encoded size of a list, in bytes. A parsed list may take ten times its encoded size, and the
/// process may have no more than 32 MB of memory.
const MAX_LIST_BYTES: usize = 1 << 20;

/// A handler of the events of a watch.
pub trait WatchHandler {
    /// Handles a new list or the failure of the watch.
    fn handle_watch_event(self: Rc<Self>, event: WatchEvent);
}

/// An event of a watch.
#[derive(Debug, PartialEq)]
pub enum WatchEvent {
    /// Discovery sent the complete list, or the changes since the previous list.
    Endpoints(EndpointList),
    /// A call failed, which ended the watch.
    Failed,
}

/// The address of a discovery service, and at most one open watch of its endpoint list.
pub struct Discovery {
    address: SocketAddr,
    /// The version of the last list from this address, or `None` if there has been none. Each discovery
    /// service counts its own versions.
    list_version: Option<u64>,
    watch: Option<JoinHandle<()>>,
}

impl Discovery {
    /// Creates a `Discovery` for the service at `address`, without a watch.
    pub fn new(address: SocketAddr) -> Self {
        Discovery { address, list_version: None, watch: None }
    }

    /// Changes the address of the service. Ends the watch at the old address and closes its connection.
    pub fn set_address(&mut self, address: SocketAddr) {
        self.address = address;
        self.list_version = None;
        self.stop_watch();
    }

    /// Records the version of the last list. The next watch continues from this version.
    pub fn record_version(&mut self, version: u64) {
        self.list_version = Some(version);
    }

    /// Starts a watch for changes after the last recorded version. Without a recorded version, the watch
    /// begins with the complete list. A watch that is already open is replaced.
    pub fn watch(&mut self, handler: Rc<impl WatchHandler + 'static>) {
        self.stop_watch();
        self.watch = Some(tokio::task::spawn_local(run_watch(self.address, handler, self.list_version)));
    }

    fn stop_watch(&mut self) {
        if let Some(watch) = self.watch.take() {
            watch.abort();
        }
    }
}

/// Makes one call to discovery after another, without a delay, until a call fails.
async fn run_watch(address: SocketAddr, handler: Rc<impl WatchHandler>, mut version: Option<u64>) {
    let mut client = DiscoveryClient { address, connection: None };
    loop {
        let list = match version {
            Some(version) => client.changes_after(version).await,
            // Changes cannot be applied without the list that they refer to.
            None => client.complete_list().await.filter(|list| list.is_complete),
        };
        let Some(list) = list else {
            handler.handle_watch_event(WatchEvent::Failed);
            return;
        };
        version = Some(list.version);
        handler.clone().handle_watch_event(WatchEvent::Endpoints(list));
    }
}

/// An open connection to discovery. Dropping the value closes the connection.
struct Connection {
    sender: SendRequest<Empty<Bytes>>,
    _task: ConnectionTask,
}

/// A client that makes calls to discovery. After a call, the client keeps its connection for the next call
/// only if the call succeeded.
struct DiscoveryClient {
    address: SocketAddr,
    connection: Option<Connection>,
}

impl DiscoveryClient {
    /// Fetches the complete list. Returns `None` if the call fails.
    async fn complete_list(&mut self) -> Option<EndpointList> {
        self.call("/v1/endpoints", Duration::ZERO).await
    }

    /// Waits for the changes after a version. Returns `None` if the call fails.
    async fn changes_after(&mut self, version: u64) -> Option<EndpointList> {
        let path = format!("/v1/endpoints?after={version}&wait_ms={}", MAX_CALL_WAIT.as_millis());
        self.call(&path, MAX_CALL_WAIT).await
    }

    /// Makes a call that may wait at discovery for `wait`. Returns `None` if the call fails or times out.
    ///
    /// The timeout detects a network partition, in which the connection stays open but no response arrives.
    async fn call(&mut self, path: &str, wait: Duration) -> Option<EndpointList> {
        let mut connection = self.connection.take();
        let list = timeout(wait + RESPONSE_TIMEOUT, self.exchange(&mut connection, path)).await.ok()??;
        self.connection = connection;
        Some(list)
    }

    /// Sends one request and reads the list in the response. Opens a new connection if there is none or if it
    /// is closed.
    async fn exchange(&self, connection: &mut Option<Connection>, path: &str) -> Option<EndpointList> {
        connection.take_if(|connection| connection.sender.is_closed());
        let connection = match connection {
            Some(connection) => connection,
            None => connection.insert(self.open().await?),
        };
        connection.sender.ready().await.ok()?;
        let request = Request::get(path).header("host", self.address.to_string()).body(Empty::new());
        let response = connection.sender.send_request(request.ok()?).await.ok()?;
        if response.status() != StatusCode::OK {
            return None;
        }
        let body = Limited::new(response.into_body(), MAX_LIST_BYTES).collect().await.ok()?.to_bytes();
        EndpointList::parse(&serde_json::from_slice(&body).ok()?)
    }

    /// Opens a connection to discovery, or returns `None` if that fails.
    async fn open(&self) -> Option<Connection> {
        let stream = connect(self.address).await.ok()?;
        let http = start_http(&Builder::new(), TokioIo::new(stream)).await.ok()?;
        Some(Connection { sender: http.sender, _task: http.task })
    }
}

#[cfg(test)]
mod tests;
