//! What passes between the listener and the driver: a request and its final answer.

use balancer_core::{ClassId, RequestId, RoutingKey, Span, TenantId};
use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, StatusCode, Uri};
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A client's request, complete and validated.
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
    /// The client's estimate of its work, in core time.
    pub cost_hint: Option<Span>,
    /// Whether the client marked it as a retry of its own.
    pub is_client_retry: bool,
    /// When the client stops waiting for its answer.
    pub deadline: Instant,
}

impl ClientRequest {
    /// The request in the balancer's terms, with the time that is left until its deadline.
    pub fn for_balancer(&self, id: RequestId, time_left: Span) -> balancer_core::Request {
        balancer_core::Request {
            id,
            class: self.class,
            tenant: self.tenant,
            routing_key: self.routing_key,
            cost_hint: self.cost_hint,
            is_client_retry: self.is_client_retry,
            time_left,
        }
    }
}

/// A request that the driver has accepted and whose answer is pending.
pub struct SubmittedRequest {
    /// The number that the driver gave it.
    pub id: RequestId,
    /// Receives its answer.
    pub answer: oneshot::Receiver<FinalAnswer>,
}

/// The one final answer to a request.
pub enum FinalAnswer {
    /// A server's complete answer.
    Served(ServedAnswer),
    /// Rejected by the balancer; the request has not run, and a retry is harmless.
    Rejected {
        /// When a retry makes sense, if the settings allow the agent to say so.
        retry_after: Option<Span>,
    },
    /// Failed; the request may have run.
    Failed(StatusCode),
}

/// The parts of a server's answer that are passed on to the client.
#[derive(Debug)]
pub struct ServedAnswer {
    /// Its content type.
    pub content_type: Option<HeaderValue>,
    /// Its body.
    pub body: Bytes,
}
