//! From a client's request to its answer.

use super::invalid_request::InvalidRequest;
use super::response::{text_response, ClientResponse};
use super::validation::{header_text, REQUEST_ID};
use super::{Listener, CROWDED_SHARE};
use crate::driver::Driver;
use crate::framing::ConnectionState;
use crate::request::SubmittedRequest;
use balancer_core::RequestId;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION};
use hyper::{Request, StatusCode};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout_at;

/// The balancer ends each request by its deadline; should it not, the agent does, this much later.
const DEADLINE_SLACK: Duration = Duration::from_millis(4);

impl Listener {
    pub(super) async fn handle_request(
        self: Rc<Self>,
        request: Request<Incoming>,
        connection: Rc<ConnectionState>,
    ) -> Result<ClientResponse, Infallible> {
        let (mut response, is_last) = match self.respond(request, &connection).await {
            Ok(response) => (response, self.is_closing(&connection)),
            // After an invalid request the rest of the connection is not trusted.
            Err(error) => (error.into(), true),
        };
        if is_last {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        connection.answer_decided();
        Ok(response)
    }

    /// Whether the present answer is the connection's last.
    fn is_closing(&self, connection: &ConnectionState) -> bool {
        self.shutdown.has_started() || self.has_taken(CROWDED_SHARE) || connection.has_excess()
    }

    async fn respond(
        &self,
        request: Request<Incoming>,
        connection: &ConnectionState,
    ) -> Result<ClientResponse, InvalidRequest> {
        if connection.has_ambiguous_length() {
            return Err(InvalidRequest::AmbiguousLength);
        }
        if request.uri().path() == "/ready" {
            return Ok(self.readiness());
        }
        let request = self.read_request(request).await?;
        let id = header_text(&request.headers, REQUEST_ID).unwrap_or_default();
        let _open = self.open_requests.open(id).ok_or(InvalidRequest::RequestIdInUse)?;
        let deadline = request.deadline;
        let SubmittedRequest { id, answer } = self.driver.submit(request);
        let _guard = DisconnectGuard { driver: &self.driver, id };
        let answer = tokio::select! {
            answer = timeout_at(deadline + DEADLINE_SLACK, answer) => answer.ok(),
            () = self.shutdown.answers_due() => None,
        };
        Ok(match answer {
            Some(Ok(answer)) => answer.into(),
            Some(Err(_)) => text_response(StatusCode::BAD_GATEWAY, "no answer was decided"),
            None => text_response(StatusCode::GATEWAY_TIMEOUT, "no answer in time"),
        })
    }

    fn readiness(&self) -> ClientResponse {
        if self.driver.is_ready() && !self.shutdown.has_started() {
            text_response(StatusCode::OK, "ready")
        } else {
            text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready")
        }
    }
}

/// Tells the balancer if a request ends without having been given its answer. When the client leaves, hyper
/// drops the future that holds this.
struct DisconnectGuard<'a> {
    driver: &'a Rc<Driver>,
    id: RequestId,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        self.driver.disconnect(self.id);
    }
}
