//! Watching the endpoint list.
//!
//! The balancer decides when to begin a watch, and when to begin again after a failure
//! ([`balancer_core::Action::WatchEndpoints`]). Between these, this module repeats the watch's calls.

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

/// How long discovery may hold a call until the list changes. It is short, so that a discovery that has become
/// unreachable is noticed soon.
const MAX_CALL_WAIT: Duration = Duration::from_secs(5);
/// A call that is not answered this long after discovery's wait has failed. Changes count as notified 2 s after
/// the wait (PROTOCOL page, "Figures"), and the next call must have been made by then.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Most bytes of a list. A parsed list may take ten times its encoded size, and the process may have no more
/// than 32 MB of memory.
const MAX_LIST_BYTES: usize = 1 << 20;

/// Handles the events of a watch.
pub trait WatchListener {
    /// Handles a new list, or the end of the watch.
    fn handle_watch_event(self: Rc<Self>, event: WatchEvent);
}

/// An event of a watch.
#[derive(Debug, PartialEq)]
pub enum WatchEvent {
    /// The complete list, or changes since the one before.
    Endpoints(EndpointList),
    /// A call failed, and the watch has ended.
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
        self.watch = Some(tokio::task::spawn_local(run_watch(self.address, listener, self.list_version)));
    }

    fn stop_watch(&mut self) {
        if let Some(watch) = self.watch.take() {
            watch.abort();
        }
    }
}

/// Calls discovery again as soon as the last call is answered, until one fails.
async fn run_watch(address: SocketAddr, listener: Rc<impl WatchListener>, mut version: Option<u64>) {
    let mut client = DiscoveryClient { address, connection: None };
    loop {
        let list = match version {
            Some(version) => client.changes_after(version).await,
            // Changes are of no use without the list that they refer to.
            None => client.complete_list().await.filter(|list| list.is_complete),
        };
        let Some(list) = list else {
            listener.handle_watch_event(WatchEvent::Failed);
            return;
        };
        version = Some(list.version);
        listener.clone().handle_watch_event(WatchEvent::Endpoints(list));
    }
}

/// An open connection to discovery; dropping it closes it.
struct Connection {
    sender: SendRequest<Empty<Bytes>>,
    _task: ConnectionTask,
}

/// Makes calls to discovery. The connection is kept for the next call only if the last call succeeded.
struct DiscoveryClient {
    address: SocketAddr,
    connection: Option<Connection>,
}

impl DiscoveryClient {
    /// Fetches the complete list; `None` if the call fails.
    async fn complete_list(&mut self) -> Option<EndpointList> {
        self.call("/v1/endpoints", Duration::ZERO).await
    }

    /// Waits for the changes after a version; `None` if the call fails.
    async fn changes_after(&mut self, version: u64) -> Option<EndpointList> {
        let path = format!("/v1/endpoints?after={version}&wait_ms={}", MAX_CALL_WAIT.as_millis());
        self.call(&path, MAX_CALL_WAIT).await
    }

    /// Makes a call that discovery may hold for `wait`; `None` if it fails. If discovery is cut off, its
    /// connection stays open without any answer, so a missing answer is a failure too.
    async fn call(&mut self, path: &str, wait: Duration) -> Option<EndpointList> {
        let mut connection = self.connection.take();
        let list = timeout(wait + CALL_TIMEOUT, self.exchange(&mut connection, path)).await.ok()??;
        self.connection = connection;
        Some(list)
    }

    /// Sends one request and reads the answer, over the connection given or, if that is closed, a new one.
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

    async fn open(&self) -> Option<Connection> {
        let stream = connect(self.address).await.ok()?;
        let http = start_http(&Builder::new(), TokioIo::new(stream)).await.ok()?;
        Some(Connection { sender: http.sender, _task: http.task })
    }
}

#[cfg(test)]
mod tests;
