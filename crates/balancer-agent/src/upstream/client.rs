//! The client that sends attempts and health checks to servers.

use super::attempt::{AttemptProgress, AttemptResult};
use super::pool::{Connection, ConnectionPool, REUSE_DELAY};
use super::request_write::RequestWrite;
use super::response::{body_end_of, load_report_of, outcome_of, parse_load_report, BodyEnd};
use super::{MAX_BODY_BYTES, MAX_HEAD_BYTES};
use crate::body::{collect_body, BodySize};
use crate::memory::MemoryBudget;
use crate::request::ServedResponse;
use balancer_core::{Outcome, ServerId};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue, CONTENT_TYPE};
use hyper::{Request, Response};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{timeout, timeout_at, Instant};

/// How long a health check may take before it times out.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// The path of health checks if servers send no load reports.
const HEALTH_PATH: &str = "/health";
/// The path of health checks whose responses contain a load report.
const LOAD_PATH: &str = "/status/load";
/// The maximum number of bytes that are read for one response: the body with its framing, the head, and the
/// heads of preceding 1xx responses. A server that sends more violates the protocol, even if each of these
/// parts is within its own limit.
const MAX_RESPONSE_BYTES: u64 = 2 * (MAX_BODY_BYTES + MAX_HEAD_BYTES) as u64;

/// The memory that a response takes in addition to its body, in bytes.
const RESPONSE_OVERHEAD_BYTES: usize = 1 << 10;

/// The header that states how long the sender of a request waits for the response, in microseconds.
const TIMEOUT_HEADER: HeaderName = HeaderName::from_static("x-timeout");

/// The error of an exchange whose connection broke or whose server violated the protocol.
struct ExchangeError;

/// A client that sends attempts and health checks to servers over pooled connections.
pub struct ServerClient {
    pool: Rc<ConnectionPool>,
    /// The budget that the memory of responses is taken from.
    memory: MemoryBudget,
    /// The names of the fields of a load report; empty if servers send no load reports.
    load_report_fields: Vec<String>,
}

impl ServerClient {
    /// Creates a client that uses the connections of a pool. Responses take their memory from `memory`.
    pub fn new(pool: Rc<ConnectionPool>, memory: MemoryBudget, load_report_fields: Vec<String>) -> Self {
        ServerClient { pool, memory, load_report_fields }
    }

    /// Returns the connection pool.
    pub fn pool(&self) -> &ConnectionPool {
        &self.pool
    }

    /// Sends an attempt and waits for its result, but not after `deadline`. The attempt tells its server the
    /// time that is left until then when it is written.
    pub async fn send_attempt(
        &self,
        server: ServerId,
        request: Request<Full<Bytes>>,
        deadline: Instant,
        progress: &AttemptProgress,
    ) -> AttemptResult {
        let failure = tokio::select! {
            biased;
            () = progress.cancelled() => Outcome::Cancelled,
            result = timeout_at(deadline, self.try_attempt(server, request, deadline, progress)) => match result {
                Ok(Ok(result)) => return result,
                Ok(Err(ExchangeError)) => Outcome::ConnectionReset,
                Err(_) => Outcome::TimedOut,
            },
        };
        // If the last byte has not been written, the server cannot have run the request, whatever ended the
        // attempt. The outcome must then state that the request did not run.
        let outcome = if progress.may_have_run() {
            failure
        } else if progress.is_cancelled() {
            Outcome::NotSent
        } else {
            Outcome::ConnectFailed
        };
        AttemptResult::without_response(outcome)
    }

    async fn try_attempt(
        &self,
        server: ServerId,
        mut request: Request<Full<Bytes>>,
        deadline: Instant,
        progress: &AttemptProgress,
    ) -> Result<AttemptResult, ExchangeError> {
        let connection = match self.pool.acquire(server).await {
            Ok(connection) => connection,
            Err(outcome) => return Ok(AttemptResult::without_response(outcome)),
        };
        // While the connection was being acquired, the attempt may have been cancelled, and the server may
        // have restarted, been removed, or stopped accepting requests.
        if progress.is_cancelled() || !self.pool.is_current(&connection) {
            self.pool.release(connection);
            return Ok(AttemptResult::without_response(Outcome::NotSent));
        }
        request.headers_mut().insert(TIMEOUT_HEADER, timeout_value(deadline));
        let request_write = RequestWrite::new(&request, connection.socket_state());
        progress.start_writing(request_write.clone());
        let on_response_part = || progress.record_response_progress();
        self.exchange(connection, request, &request_write, on_response_part).await
    }

    /// Sends a health check to a server. If servers send load reports, the check requests one.
    pub async fn check_health(&self, server: ServerId) -> AttemptResult {
        let result = timeout(HEALTH_CHECK_TIMEOUT, self.try_health_check(server)).await;
        let result = result.unwrap_or(Err(Outcome::TimedOut));
        let mut check = result.unwrap_or_else(AttemptResult::without_response);
        // The response to a health check carries the load report in a header or in the body.
        if let (None, Some(response)) = (&check.load_report, &check.response) {
            let text = std::str::from_utf8(&response.body).ok();
            check.load_report = text.and_then(|text| parse_load_report(text, &self.load_report_fields));
        }
        check
    }

    async fn try_health_check(&self, server: ServerId) -> Result<AttemptResult, Outcome> {
        let path = if self.load_report_fields.is_empty() { HEALTH_PATH } else { LOAD_PATH };
        let connection = self.pool.acquire(server).await?;
        let request = Request::get(path).header("host", "backend").body(Full::default());
        let request = request.map_err(|_| Outcome::NotSent)?;
        let request_write = RequestWrite::new(&request, connection.socket_state());
        let result = self.exchange(connection, request, &request_write, || ()).await;
        result.map_err(|ExchangeError| Outcome::ConnectionReset)
    }

    /// Sends a request over a connection and reads the response. The body is read only if the whole request
    /// has been written. Calls `on_response_part` for each part of the response that arrives.
    async fn exchange(
        &self,
        mut connection: Connection,
        request: Request<Full<Bytes>>,
        request_write: &RequestWrite,
        on_response_part: impl Fn(),
    ) -> Result<AttemptResult, ExchangeError> {
        connection.socket_state().allow_reading(MAX_RESPONSE_BYTES);
        let response = connection.send_request(request).await.map_err(|_| ExchangeError)?;
        on_response_part();
        let outcome = outcome_of(&response);
        let load_report = load_report_of(&response, &self.load_report_fields);
        if !request_write.may_be_complete() {
            // The server has responded before the last byte of the request was written. The server must not
            // receive the rest of a request that it has already rejected. A success cannot be the response to
            // a request that the server has not received completely.
            request_write.stop_writing();
            if outcome == Outcome::Success {
                return Err(ExchangeError);
            }
            return Ok(AttemptResult { outcome, load_report, response: None });
        }
        let body_end = body_end_of(&response).ok_or(ExchangeError)?;
        let response = self.read_response(response, on_response_part).await?;
        // The end of the connection ends a body only if it is orderly. The bodies of other responses are not
        // used, so it does not matter whether they are truncated.
        let must_end_orderly = outcome == Outcome::Success && body_end == BodyEnd::Connection;
        if must_end_orderly && !connection.socket_state().has_orderly_end() {
            return Err(ExchangeError);
        }
        self.release_when_ready(connection);
        let response = (outcome == Outcome::Success).then_some(response);
        Ok(AttemptResult { outcome, load_report, response })
    }

    /// Reads the body of a response, and calls `on_part` for each part of it that arrives. Nothing is read
    /// until there is memory for the stated size, or for a short body if none is stated; of a longer one,
    /// nothing more is read until there is memory for the longest. Returns an error if the body is truncated
    /// or exceeds [`MAX_BODY_BYTES`].
    async fn read_response(
        &self,
        response: Response<Incoming>,
        on_part: impl Fn(),
    ) -> Result<ServedResponse, ExchangeError> {
        // A clone of the value would keep the whole head of the response in memory.
        let content_type = response.headers().get(CONTENT_TYPE);
        let content_type = content_type.and_then(|value| HeaderValue::from_bytes(value.as_bytes()).ok());
        let body = response.into_body();
        let size = BodySize::of(&body, MAX_BODY_BYTES);
        let mut memory = self.memory.reserve_response(RESPONSE_OVERHEAD_BYTES + size.expected).await;
        let reserve_max = async || {
            memory = self.memory.reserve_response(RESPONSE_OVERHEAD_BYTES + size.max).await;
            true
        };
        let body = collect_body(body, size, on_part, reserve_max).await.map_err(|_| ExchangeError)?;
        Ok(ServedResponse { content_type, body: memory.into_bytes(body) })
    }

    /// Releases a connection to the pool as soon as the connection can carry another request.
    ///
    /// If the server has sent more than the response, hyper closes the connection instead. The response is
    /// valid in either case, so this function does not wait for the connection. A connection that is not
    /// ready within [`REUSE_DELAY`] is closed.
    fn release_when_ready(&self, mut connection: Connection) {
        if connection.is_ready() {
            self.pool.release(connection);
            return;
        }
        if connection.is_closed() {
            return;
        }
        let pool = self.pool.clone();
        tokio::task::spawn_local(async move {
            if let Ok(Ok(())) = timeout(REUSE_DELAY, connection.ready()).await {
                pool.release(connection);
            }
        });
    }
}

/// Returns the value of a timeout header that states the time until `deadline`.
fn timeout_value(deadline: Instant) -> HeaderValue {
    let time_left = deadline.saturating_duration_since(Instant::now());
    let text = format!("{}u", time_left.as_micros().max(1));
    HeaderValue::try_from(text).unwrap_or(HeaderValue::from_static("1u"))
}

#[cfg(test)]
mod tests;
