//! The handling of one client request, from its head to its answer.

use super::invalid_request::InvalidRequest;
use super::open_requests::OpenRequestIds;
use super::response::{text_response, ClientResponse};
use super::shutdown::ShutdownSignal;
use super::validation::{header_text, read_request, REQUEST_ID};
use crate::driver::Driver;
use crate::framing::{ConnectionState, FramingFault};
use crate::request::ClientRequest;
use balancer_core::RequestId;
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout_at;

/// The path of readiness requests.
const READINESS_PATH: &str = "/ready";
/// The balancer answers each request by its deadline. If it does not, the request handler does, this much
/// later.
const DEADLINE_SLACK: Duration = Duration::from_millis(4);

/// Validates requests, submits them to the driver and awaits their answers.
pub struct RequestHandler {
    driver: Rc<Driver>,
    open_requests: OpenRequestIds,
}

impl RequestHandler {
    /// A handler that submits requests to this driver.
    pub fn new(driver: Rc<Driver>) -> Self {
        RequestHandler { driver, open_requests: OpenRequestIds::default() }
    }

    /// Answers a request.
    ///
    /// # Errors
    ///
    /// If the request is invalid; it has not been submitted then.
    pub async fn handle(
        &self,
        request: Request<Incoming>,
        connection: &ConnectionState,
        shutdown: &ShutdownSignal,
    ) -> Result<ClientResponse, InvalidRequest> {
        if connection.framing_fault() == Some(FramingFault::AmbiguousLength) {
            return Err(InvalidRequest::AmbiguousLength);
        }
        if request.uri().path() == READINESS_PATH {
            return Ok(self.readiness(shutdown));
        }
        let request = read_request(request, &self.driver).await?;
        let id = header_text(&request.headers, REQUEST_ID).unwrap_or_default();
        let _id_guard = self.open_requests.open(id).ok_or(InvalidRequest::RequestIdInUse)?;
        Ok(self.balance(request, shutdown).await)
    }

    /// Has a valid request balanced, and awaits its answer until the request's deadline or the end of a
    /// shutdown.
    async fn balance(&self, request: ClientRequest, shutdown: &ShutdownSignal) -> ClientResponse {
        let deadline = request.deadline;
        let submitted = self.driver.submit(request);
        let _disconnect_guard = DisconnectGuard { driver: &self.driver, id: submitted.id };
        let answer = tokio::select! {
            answer = timeout_at(deadline + DEADLINE_SLACK, submitted.answer) => answer.ok(),
            () = shutdown.answers_due() => None,
        };
        match answer {
            Some(Ok(answer)) => answer.into(),
            Some(Err(_)) => text_response(StatusCode::BAD_GATEWAY, "no answer was decided"),
            None => text_response(StatusCode::GATEWAY_TIMEOUT, "no answer in time"),
        }
    }

    fn readiness(&self, shutdown: &ShutdownSignal) -> ClientResponse {
        if self.driver.is_ready() && !shutdown.has_started() {
            text_response(StatusCode::OK, "ready")
        } else {
            text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready")
        }
    }
}

/// Tells the driver that a request no longer needs an answer. When a client disconnects, hyper drops
/// the future that holds this guard. For a request that has been answered the driver does nothing.
struct DisconnectGuard<'a> {
    driver: &'a Rc<Driver>,
    id: RequestId,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        self.driver.disconnect(self.id);
    }
}
