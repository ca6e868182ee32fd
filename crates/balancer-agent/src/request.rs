//! What passes between the listener and the driver: a request and its final answer.

use balancer_core::{ClassId, RoutingKey, Span, TenantId};
use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, StatusCode, Uri};
use tokio::time::Instant;

/// A client's request, complete and checked.
pub struct ClientRequest {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// The headers that are forwarded.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// Its class.
    pub class: ClassId,
    /// The tenant that sent it.
    pub tenant: Option<TenantId>,
    /// The object that it concerns.
    pub routing_key: Option<RoutingKey>,
    /// A guess at its work.
    pub cost_hint: Option<Span>,
    /// The client says that it is a retry.
    pub is_client_retry: bool,
    /// When its answer must be on its way.
    pub deadline: Instant,
}

/// The one final answer to a request.
pub enum FinalAnswer {
    /// A server's complete answer.
    Served(ServedAnswer),
    /// Rejected by the balancer; a retry is harmless, and makes sense after this long.
    Rejected {
        /// Advice to the client, where the settings allow it.
        retry_after: Option<Span>,
    },
    /// Failed, with no promise about its effect.
    Failed(StatusCode),
}

/// What is passed on of a server's answer.
#[derive(Debug)]
pub struct ServedAnswer {
    /// Its content type.
    pub content_type: Option<HeaderValue>,
    /// Its body.
    pub body: Bytes,
}
