//! Watching the endpoint list.
//!
//! When to begin a watch, and when to begin one again after a failure, is the balancer's to say
//! ([`balancer_core::Action::WatchEndpoints`]); a watch once begun is kept up here.

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

/// How long a watch waits for news. Short enough that a silent discovery is found out soon.
const WATCH_WAIT: Duration = Duration::from_secs(5);
/// A call without an answer this long after it should have one has failed: discovery is down or cut off. What
/// it had to deliver counts as notified 2 s after its wait (PROTOCOL page, "Figures"); by then the next call
/// must have been made.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The longest list that is read. Parsed, one may take ten times its length, and memory may be 32 MB.
const MAX_LIST_BYTES: usize = 1 << 20;

/// Takes in what a watch brings.
pub trait WatchListener {
    /// An answer has come, or the watch has failed and is over.
    fn handle_watch_event(self: Rc<Self>, event: WatchEvent);
}

/// What a watch brings.
#[derive(Debug, PartialEq)]
pub enum WatchEvent {
    /// The complete list, or changes of the one before.
    Endpoints(EndpointList),
    /// A call failed in any way; the watch is over.
    Failed,
}

/// The discovery service, and at most one watch of its endpoint list.
pub struct Discovery {
    address: SocketAddr,
    /// The version of the last list; `None` if this service has sent none, as each counts its own versions.
    list_version: Option<u64>,
    watch: Option<JoinHandle<()>>,
}

impl Discovery {
    /// A discovery service that is not watched yet.
    pub fn new(address: SocketAddr) -> Self {
        Discovery { address, list_version: None, watch: None }
    }

    /// Changes the service's address. The watch at the old address ends, and its connection is closed.
    pub fn relocate(&mut self, address: SocketAddr) {
        self.address = address;
        self.list_version = None;
        self.stop_watch();
    }

    /// Records the version of the last list, from which the next watch continues.
    pub fn record_version(&mut self, version: u64) {
        self.list_version = Some(version);
    }

    /// Begins a watch for changes after the last recorded version, in place of the present watch, if any.
    /// Without a recorded version it begins with the complete list.
    pub fn watch(&mut self, listener: Rc<impl WatchListener + 'static>) {
        self.stop_watch();
        self.watch = Some(tokio::task::spawn_local(watch(self.address, listener, self.list_version)));
    }

    fn stop_watch(&mut self) {
        if let Some(watch) = self.watch.take() {
            watch.abort();
        }
    }
}

/// Calls again as soon as the last call is answered, until one fails.
async fn watch(address: SocketAddr, listener: Rc<impl WatchListener>, mut version: Option<u64>) {
    let mut client = DiscoveryClient { address, connection: None };
    loop {
        let list = match version {
            Some(version) => client.changes_after(version).await,
            // Changes refer to a list that is known; as a first answer they would say nothing of the others.
            None => client.complete_list().await.filter(|list| list.is_complete),
        };
        let Some(list) = list else {
            return listener.handle_watch_event(WatchEvent::Failed);
        };
        version = Some(list.version);
        listener.clone().handle_watch_event(WatchEvent::Endpoints(list));
    }
}

struct Connection {
    sender: SendRequest<Empty<Bytes>>,
    _task: ConnectionTask,
}

/// Makes calls to discovery. The connection is kept for the next call only if all went well.
struct DiscoveryClient {
    address: SocketAddr,
    connection: Option<Connection>,
}

impl DiscoveryClient {
    async fn complete_list(&mut self) -> Option<EndpointList> {
        self.call("/v1/endpoints", Duration::ZERO).await
    }

    async fn changes_after(&mut self, version: u64) -> Option<EndpointList> {
        let path = format!("/v1/endpoints?after={version}&wait_ms={}", WATCH_WAIT.as_millis());
        self.call(&path, WATCH_WAIT).await
    }

    /// One call that discovery may let wait; none if it failed in any way. A discovery that is cut off leaves
    /// its connection open and silent, so no answer in time is a failure like any other.
    async fn call(&mut self, path: &str, wait: Duration) -> Option<EndpointList> {
        let kept = self.connection.take();
        let (connection, list) = timeout(wait + CALL_TIMEOUT, self.exchange(kept, path)).await.ok()??;
        self.connection = Some(connection);
        Some(list)
    }

    async fn exchange(&self, kept: Option<Connection>, path: &str) -> Option<(Connection, EndpointList)> {
        let mut connection = match kept.filter(|connection| !connection.sender.is_closed()) {
            Some(connection) => connection,
            None => self.open().await?,
        };
        connection.sender.ready().await.ok()?;
        let request = Request::get(path).header("host", self.address.to_string()).body(Empty::new());
        let response = connection.sender.send_request(request.ok()?).await.ok()?;
        if response.status() != StatusCode::OK {
            return None;
        }
        let body = Limited::new(response.into_body(), MAX_LIST_BYTES).collect().await.ok()?.to_bytes();
        let list = EndpointList::parse(&serde_json::from_slice(&body).ok()?)?;
        Some((connection, list))
    }

    async fn open(&self) -> Option<Connection> {
        let stream = connect(self.address).await.ok()?;
        let http = start_http(&Builder::new(), TokioIo::new(stream)).await.ok()?;
        Some(Connection { sender: http.sender, _task: http.task })
    }
}

#[cfg(test)]
mod tests;
