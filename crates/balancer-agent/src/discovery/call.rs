//! A call to discovery: one request for the endpoint list, and its response.

use super::connector::Connector;
use super::list_order::CallBasis;
use super::list_text::{ListText, ListTooLong, MAX_LIST_BYTES};
use crate::endpoint_list::EndpointList;
use crate::http_client::{start_http, ConnectionTask};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How long a call may wait at discovery until the list changes. A longer wait would delay the detection of a
/// discovery service that has become unreachable.
pub const MAX_CALL_WAIT: Duration = Duration::from_secs(5);

/// The reason why a call has failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The connection could not be established, or ended before the response was complete.
    #[error("no connection, or it ended within a response")]
    Disconnected,
    /// The response does not contain a list.
    #[error("response with status {0}")]
    Status(u16),
    /// The list is longer than permitted.
    #[error("a list of more than {MAX_LIST_BYTES} bytes")]
    ListTooLong,
    /// The response is not a list.
    #[error("a response that is no endpoint list")]
    NotAList,
    /// The list contains changes, but the call requested the complete list. Changes cannot be applied without
    /// the list that they refer to.
    #[error("changes in place of the whole list")]
    Incomplete,
    /// The call's task has panicked.
    #[error("the call ended unexpectedly")]
    Panicked,
}

/// A call that has not been made.
pub struct Call {
    /// The address of discovery.
    pub address: SocketAddr,
    /// What is known when the call is made. It determines whether the call requests the complete list.
    pub basis: CallBasis,
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
        self.basis.after_version().map_or(Duration::ZERO, |_| MAX_CALL_WAIT)
    }

    /// Sends the request and waits for the response, without a time limit. `connector` opens a connection if
    /// one is needed.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no response, or no list in it that can be used.
    pub async fn make(self, connector: Rc<impl Connector>) -> Result<CallResponse, CallError> {
        let mut connection = match self.connection {
            Some(connection) if !connection.sender.is_closed() => connection,
            _ => Connection::open(self.address, connector).await.ok_or(CallError::Disconnected)?,
        };
        let after_version = self.basis.after_version();
        let path = match after_version {
            Some(version) => {
                format!("/v1/endpoints?after={version}&wait_ms={}", MAX_CALL_WAIT.as_millis())
            }
            None => "/v1/endpoints".to_owned(),
        };
        let response = connection.exchange(&path, self.address).await.ok_or(CallError::Disconnected)?;
        let list = read_list(response).await?;
        if !list.is_complete && after_version.is_none() {
            return Err(CallError::Incomplete);
        }
        Ok(CallResponse { list, connection })
    }
}

impl Connection {
    async fn open(address: SocketAddr, connector: Rc<impl Connector>) -> Option<Self> {
        let stream = connector.connect(address).await.ok()?;
        let http = start_http(&Builder::new(), TokioIo::new(stream)).await.ok()?;
        Some(Connection { sender: http.sender, _task: http.task })
    }

    /// Sends one request and reads the head of the response.
    async fn exchange(&mut self, path: &str, address: SocketAddr) -> Option<Response<Incoming>> {
        self.sender.ready().await.ok()?;
        let request = Request::get(path).header("host", address.to_string()).body(Empty::new());
        self.sender.send_request(request.ok()?).await.ok()
    }
}

/// Reads the list in a response.
async fn read_list(response: Response<Incoming>) -> Result<EndpointList, CallError> {
    if response.status() != StatusCode::OK {
        return Err(CallError::Status(response.status().as_u16()));
    }
    let mut text = ListText::default();
    let mut body = response.into_body();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| CallError::Disconnected)?;
        if let Some(part) = frame.data_ref() {
            text.push(part).map_err(|ListTooLong| CallError::ListTooLong)?;
        }
    }
    serde_json::from_slice(text.as_bytes()).map_err(|_| CallError::NotAList)
}
