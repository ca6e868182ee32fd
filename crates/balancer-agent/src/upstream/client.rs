//! Sending attempts and health checks to servers.

use super::attempt::{AttemptOutcome, AttemptProgress};
use super::pool::{Connection, ConnectionPool, SETTLE_TIME};
use super::request_on_wire::RequestOnWire;
use super::response::{has_known_length, load_report_of, outcome_of, parse_load_report};
use super::{MAX_BODY, MAX_HEAD};
use crate::request::ServedAnswer;
use balancer_core::{Outcome, ServerId};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::{Request, Response};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{timeout, timeout_at, Instant};

/// A health check that is not answered after this time has timed out.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// Where servers answer health checks.
const HEALTH_PATH: &str = "/health";
/// Where servers answer health checks with their load, if they report it.
const LOAD_PATH: &str = "/status/load";
/// Most bytes that are read for one answer: its body with its framing, its head, and the heads of 1xx answers
/// before it. A server that sends more is at fault, even if each part is well formed.
const MAX_ANSWER: u64 = 2 * (MAX_BODY + MAX_HEAD) as u64;

/// The connection broke, or the server broke the protocol, before the exchange was complete.
struct ExchangeBroken;

/// Sends requests to servers over a pool of connections.
pub struct ServerClient {
    pool: Rc<ConnectionPool>,
    /// The names of the fields of load reports; empty if servers report no load.
    load_report_fields: Vec<String>,
}

impl ServerClient {
    /// A client that uses the connections of a pool.
    pub fn new(pool: Rc<ConnectionPool>, load_report_fields: Vec<String>) -> Self {
        ServerClient { pool, load_report_fields }
    }

    /// The pool of its connections.
    pub fn pool(&self) -> &ConnectionPool {
        &self.pool
    }

    /// Sends an attempt and waits for its outcome, at most until `deadline`.
    pub async fn send_attempt(
        &self,
        server: ServerId,
        request: Request<Full<Bytes>>,
        deadline: Instant,
        progress: &AttemptProgress,
    ) -> AttemptOutcome {
        let failure = tokio::select! {
            biased;
            () = progress.cancelled() => Outcome::Cancelled,
            result = timeout_at(deadline, self.try_attempt(server, request, progress)) => match result {
                Ok(Ok(ended)) => return ended,
                Ok(Err(ExchangeBroken)) => Outcome::ConnectionReset,
                Err(_) => Outcome::TimedOut,
            },
        };
        // Only the bytes written tell whether the server may have run the request.
        let outcome = if progress.may_have_run() {
            failure
        } else if progress.is_cancelled() {
            Outcome::NotSent
        } else {
            Outcome::ConnectFailed
        };
        AttemptOutcome::without_answer(outcome)
    }

    async fn try_attempt(
        &self,
        server: ServerId,
        request: Request<Full<Bytes>>,
        progress: &AttemptProgress,
    ) -> Result<AttemptOutcome, ExchangeBroken> {
        let connection = match self.pool.acquire(server).await {
            Ok(connection) => connection,
            Err(outcome) => return Ok(AttemptOutcome::without_answer(outcome)),
        };
        // Opening the connection may have taken a while: by now the request may be closed, or the server
        // removed.
        if progress.is_cancelled() || !self.pool.is_current(&connection) {
            self.pool.release(connection);
            return Ok(AttemptOutcome::without_answer(Outcome::NotSent));
        }
        let on_wire = RequestOnWire::new(&request, connection.wire());
        progress.start_writing(on_wire.clone());
        self.exchange(connection, request, &on_wire).await
    }

    /// Checks a server's health, and asks for its load if servers report it.
    pub async fn check_health(&self, server: ServerId) -> AttemptOutcome {
        let result = timeout(HEALTH_CHECK_TIMEOUT, self.try_health_check(server)).await;
        let result = result.unwrap_or(Err(Outcome::TimedOut));
        let mut ended = result.unwrap_or_else(AttemptOutcome::without_answer);
        if let (None, Some(answer)) = (&ended.load_report, &ended.answer) {
            let text = std::str::from_utf8(&answer.body).ok();
            ended.load_report = text.and_then(|text| parse_load_report(text, &self.load_report_fields));
        }
        ended
    }

    async fn try_health_check(&self, server: ServerId) -> Result<AttemptOutcome, Outcome> {
        let path = if self.load_report_fields.is_empty() { HEALTH_PATH } else { LOAD_PATH };
        let connection = self.pool.acquire(server).await?;
        let request = Request::get(path).header("host", "backend").body(Full::default());
        let request = request.map_err(|_| Outcome::NotSent)?;
        let on_wire = RequestOnWire::new(&request, connection.wire());
        let result = self.exchange(connection, request, &on_wire).await;
        result.map_err(|ExchangeBroken| Outcome::ConnectionReset)
    }

    /// Sends a request over a connection and reads its complete answer.
    async fn exchange(
        &self,
        mut connection: Connection,
        request: Request<Full<Bytes>>,
        on_wire: &RequestOnWire,
    ) -> Result<AttemptOutcome, ExchangeBroken> {
        connection.wire().allow_reading(MAX_ANSWER);
        let response = connection.send_request(request).await.map_err(|_| ExchangeBroken)?;
        let outcome = outcome_of(&response);
        let load_report = load_report_of(&response, &self.load_report_fields);
        if !on_wire.may_be_complete() {
            // The server must not get the rest of a request that it has rejected. A success before the last
            // byte cannot be the answer to this request.
            on_wire.stop_writing();
            if outcome == Outcome::Success {
                return Err(ExchangeBroken);
            }
            return Ok(AttemptOutcome { outcome, load_report, answer: None });
        }
        if !has_known_length(&response) {
            return Err(ExchangeBroken);
        }
        let answer = read_answer(response).await?;
        self.release_when_ready(connection);
        let answer = (outcome == Outcome::Success).then_some(answer);
        Ok(AttemptOutcome { outcome, load_report, answer })
    }

    /// Releases a connection to the pool as soon as it can carry another request. If the server has sent more
    /// than the answer, hyper closes the connection instead. The answer is valid in either case and does not
    /// wait for this.
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
            if let Ok(Ok(())) = timeout(SETTLE_TIME, connection.ready()).await {
                pool.release(connection);
            }
        });
    }
}

/// Reads the rest of a response, with a body of at most `MAX_BODY` bytes.
async fn read_answer(response: Response<Incoming>) -> Result<ServedAnswer, ExchangeBroken> {
    let content_type = response.headers().get(CONTENT_TYPE).cloned();
    let body = Limited::new(response.into_body(), MAX_BODY).collect().await;
    let body = body.map_err(|_| ExchangeBroken)?.to_bytes();
    Ok(ServedAnswer { content_type, body })
}

#[cfg(test)]
mod tests;
