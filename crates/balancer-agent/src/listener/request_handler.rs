//! The handling of one client request, from its head to its final response.

use super::client_connection::CloseReason;
use super::invalid_request::InvalidRequest;
use super::response::{text_response, ClientResponse};
use super::shutdown::ShutdownSignal;
use super::validation::read_request;
use crate::activity::{Event, LoggedId};
use crate::driver::Driver;
use crate::framing::{ConnectionState, FramingFault, Phase};
use crate::headers::{header_text, REQUEST_ID_HEADER};
use crate::memory::MemoryBudget;
use crate::request::ClientRequest;
use crate::request_ids::{RequestIdClaim, RequestIds};
use balancer_core::{Effect, RequestId};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout_at;

/// The path of readiness requests.
const READINESS_PATH: &str = "/ready";
/// The text in place of the id of a request whose head has not been received completely.
const UNKNOWN_ID: &str = "(unknown)";
/// How long after a request's deadline the handler waits for the final response. After that, the handler
/// responds itself.
const DEADLINE_SLACK: Duration = Duration::from_millis(4);

/// The handler of client requests, which validates them, submits them to the driver and waits for their final
/// responses.
pub struct RequestHandler {
    driver: Rc<Driver>,
    request_ids: RequestIds,
    /// The budget that the memory of requests is taken from.
    memory: MemoryBudget,
}

impl RequestHandler {
    /// Creates a handler that submits requests to this driver. Requests take their memory from `memory`.
    pub fn new(driver: Rc<Driver>, memory: MemoryBudget) -> Self {
        RequestHandler { driver, request_ids: RequestIds::default(), memory }
    }

    /// Releases memory that is used only to be quicker later: that of an idle connection to a server. Returns
    /// `false` if there is none.
    pub fn release_memory(&self) -> bool {
        self.driver.close_idle_server_connection()
    }

    /// Handles a request and returns the response to it.
    ///
    /// # Errors
    ///
    /// Returns the reason if the request is invalid. Such a request has not been submitted to the driver.
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
            return Ok(self.readiness_response(shutdown));
        }
        let id = LoggedId::new(header_text(request.headers(), REQUEST_ID_HEADER).unwrap_or_default());
        let result = self.handle_with_id(request, connection, shutdown).await;
        self.log_result(&id, &result);
        result
    }

    /// Handles a request that is not a readiness request, like [`RequestHandler::handle`].
    async fn handle_with_id(
        &self,
        request: Request<Incoming>,
        connection: &ConnectionState,
        shutdown: &ShutdownSignal,
    ) -> Result<ClientResponse, InvalidRequest> {
        let mut request = read_request(request, connection, &self.driver, &self.memory).await?;
        let _claim = self.claim_id(&mut request)?;
        Ok(self.submit_and_wait(request, shutdown).await)
    }

    fn log_result(&self, id: &LoggedId, result: &Result<ClientResponse, InvalidRequest>) {
        let activity = self.driver.activity();
        match result {
            Ok(response) if response.status() == StatusCode::OK => activity.record_served(),
            Ok(response) => activity.record(&Event::Unserved { id, status: response.status() }),
            Err(reason) => activity.record(&Event::Refused { id, reason }),
        }
    }

    /// Claims the id of a request. The claim belongs to the request, which lasts until all attempts have
    /// ended, if the request may not run twice. Otherwise, returns the claim, which ends with the response.
    fn claim_id(&self, request: &mut ClientRequest) -> Result<Option<RequestIdClaim>, InvalidRequest> {
        let claim = self.request_ids.claim(request.id())?;
        if self.driver.effect_of(request.class) == Effect::Idempotent {
            return Ok(Some(claim));
        }
        request.id_claim = Some(claim);
        Ok(None)
    }

    /// Submits a valid request to the driver, and waits for the final response until shortly after the
    /// request's deadline or until responses are due in a shutdown.
    async fn submit_and_wait(&self, request: ClientRequest, shutdown: &ShutdownSignal) -> ClientResponse {
        let deadline = request.deadline;
        let submitted = self.driver.submit(request);
        let _disconnect_guard = DisconnectGuard { driver: &self.driver, id: submitted.id };
        let response = tokio::select! {
            response = timeout_at(deadline + DEADLINE_SLACK, submitted.response) => response.ok(),
            () = shutdown.responses_due() => None,
        };
        match response {
            Some(Ok(response)) => response.into(),
            Some(Err(_)) => text_response(StatusCode::BAD_GATEWAY, "no answer was decided"),
            None => text_response(StatusCode::GATEWAY_TIMEOUT, "no answer in time"),
        }
    }

    /// Logs the close of a connection if its client may still have needed it. Idle connections, connections
    /// without a request and those that wait for the client's close are closed as a matter of course.
    pub fn log_close(&self, reason: CloseReason) {
        let activity = self.driver.activity();
        match reason {
            CloseReason::Finished | CloseReason::TimedOut(Phase::Silent | Phase::Idle | Phase::Closing) => {}
            CloseReason::TimedOut(phase) => activity.record(&Event::TimedOut { phase }),
            CloseReason::Evicted(_) => activity.record(&Event::Evicted),
            CloseReason::OutOfMemory => {
                let id = LoggedId::new(UNKNOWN_ID);
                activity.record(&Event::Refused { id: &id, reason: &InvalidRequest::NoCapacity });
            }
        }
    }

    /// Returns the response to a readiness request.
    fn readiness_response(&self, shutdown: &ShutdownSignal) -> ClientResponse {
        if self.driver.is_ready() && !shutdown.has_started() {
            text_response(StatusCode::OK, "ready")
        } else {
            text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready")
        }
    }
}

/// A guard that notifies the driver on drop that a request no longer needs a response.
///
/// When a client disconnects, hyper drops the future that holds this guard. If the request is already
/// finished, the notification has no effect.
struct DisconnectGuard<'a> {
    driver: &'a Rc<Driver>,
    id: RequestId,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        self.driver.disconnect(self.id);
    }
}
