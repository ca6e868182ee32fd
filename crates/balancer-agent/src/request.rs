//! The requests that the listener submits to the driver, and the final responses that the driver returns.

use crate::headers::{header_text, REQUEST_ID_HEADER};
use crate::request_ids::RequestIdClaim;
use balancer_core::{ClassId, RequestId, RoutingKey, Span, TenantId};
use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, StatusCode, Uri};
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A client's request, which has been received completely and validated.
pub struct ClientRequest {
    /// The request's method.
    pub method: Method,
    /// The request's path and query.
    pub uri: Uri,
    /// The headers that are forwarded to servers.
    pub headers: HeaderMap,
    /// The request's body, which keeps the memory of the whole request reserved.
    pub body: Bytes,
    /// The request's class.
    pub class: ClassId,
    /// The tenant that sent the request, if the settings have tenants.
    pub tenant: Option<TenantId>,
    /// The key of the object that the request concerns, if the request's query contains one.
    pub routing_key: Option<RoutingKey>,
    /// The client's estimate of the request's work, as the time that one core needs for it.
    pub cost_hint: Option<Span>,
    /// Whether the client marked the request as a retry of its own.
    pub is_client_retry: bool,
    /// When the final response must be known. The rest of the client's timeout is reserved for writing the
    /// response.
    pub deadline: Instant,
    /// The claim to the request's id, if the request may not run twice.
    pub id_claim: Option<RequestIdClaim>,
}

impl ClientRequest {
    /// Returns the id that the client has given the request, or an empty text if it is not ASCII.
    pub fn id(&self) -> &str {
        header_text(&self.headers, REQUEST_ID_HEADER).unwrap_or_default()
    }

    /// Records that a server may have run the request.
    pub fn record_possible_run(&self) {
        if let Some(claim) = &self.id_claim {
            claim.record_possible_run();
        }
    }

    /// Converts the request to the balancer's type. `time_left` is the time left until the deadline.
    pub fn to_balancer_request(&self, id: RequestId, time_left: Span) -> balancer_core::Request {
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

/// A request that has been submitted to the driver and whose final response is pending.
pub struct SubmittedRequest {
    /// The id that the driver assigned to the request.
    pub id: RequestId,
    /// The receiver of the final response.
    pub response: oneshot::Receiver<FinalResponse>,
}

/// The final response to a request.
pub enum FinalResponse {
    /// A server's response, which has been received completely.
    Served(ServedResponse),
    /// The balancer has rejected the request. The request was not processed and may be retried.
    Rejected {
        /// The delay after which the client should retry; `None` if there is no advice for the client.
        retry_after: Option<Span>,
    },
    /// The request has failed with this status. A server may have processed it.
    Failed(StatusCode),
}

/// The parts of a server's response that are forwarded to the client.
#[derive(Debug)]
pub struct ServedResponse {
    /// The response's content type.
    pub content_type: Option<HeaderValue>,
    /// The response's body.
    pub body: Bytes,
}
