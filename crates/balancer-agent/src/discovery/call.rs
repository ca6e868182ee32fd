//! A call to discovery: one request for the endpoint list, and its response.

use crate::endpoint_list::EndpointList;
use crate::http_client::{connect, start_http, ConnectionTask};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a call may wait at discovery until the list changes. A longer wait would delay the detection of a
/// discovery service that has become unreachable.
pub const MAX_CALL_WAIT: Duration = Duration::from_secs(5);
/// The maximum encoded size of a list, in bytes. A parsed list may take ten times its encoded size, and the
/// process may have no more than 32 MB of memory.
const MAX_LIST_BYTES: usize = 1 << 20;

/// A call that has not been made.
pub struct Call {
    /// The address of discovery.
    pub address: SocketAddr,
    /// The version whose changes the call waits for, or `None` if it requests the complete list.
    pub after_version: Option<u64>,
    /// A connection to use; a new one is opened if there is none or if it is closed.
    pub connection: Option<Connection>,
}

/// The response to a call, and the connection on which it arrived.
pub struct CallResponse {
    /// The complete list or the changes.
    pub list: EndpointList,
    /// The connection, which can carry another call.
    pub connection: Connection,
}

/// An open connection to discovery. Dropping the value closes the connection.
pub struct Connection {
    sender: SendRequest<Empty<Bytes>>,
    _task: ConnectionTask,
}

impl Call {
    /// Returns how long the call may wait at discovery before discovery responds.
    pub fn wait(&self) -> Duration {
        self.after_version.map_or(Duration::ZERO, |_| MAX_CALL_WAIT)
    }

    /// Sends the request and waits for the response, without a time limit. Returns `None` if the call fails.
    pub async fn make(self) -> Option<CallResponse> {
        let mut connection = match self.connection {
            Some(connection) if !connection.sender.is_closed() => connection,
            _ => Connection::open(self.address).await?,
        };
        let path = match self.after_version {
            Some(version) => {
                format!("/v1/endpoints?after={version}&wait_ms={}", MAX_CALL_WAIT.as_millis())
            }
            None => "/v1/endpoints".to_owned(),
        };
        let list = connection.exchange(&path, self.address).await?;
        // Changes cannot be applied without the list that they refer to.
        let is_usable = list.is_complete || self.after_version.is_some();
        is_usable.then_some(CallResponse { list, connection })
    }
}

impl Connection {
    async fn open(address: SocketAddr) -> Option<Self> {
        let stream = connect(address).await.ok()?;
        let http = start_http(&Builder::new(), TokioIo::new(stream)).await.ok()?;
        Some(Connection { sender: http.sender, _task: http.task })
    }

    /// Sends one request and reads the list in the response.
    async fn exchange(&mut self, path: &str, address: SocketAddr) -> Option<EndpointList> {
        self.sender.ready().await.ok()?;
        let request = Request::get(path).header("host", address.to_string()).body(Empty::new());
        let response = self.sender.send_request(request.ok()?).await.ok()?;
        if response.status() != StatusCode::OK {
            return None;
        }
        let body = Limited::new(response.into_body(), MAX_LIST_BYTES).collect().await.ok()?.to_bytes();
        EndpointList::parse(&serde_json::from_slice(&body).ok()?)
    }
}
