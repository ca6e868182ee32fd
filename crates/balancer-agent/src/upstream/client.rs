//! Sending attempts and health checks to servers.

use super::attempt::{AttemptOutcome, AttemptProgress};
use super::pool::{Connection, ConnectionPool, SETTLE_TIME};
use super::response::{has_known_length, load_report_of, outcome_of, parse_load_report};
use super::{MAX_BODY, MAX_HEAD};
use crate::request::ServedAnswer;
use balancer_core::{Outcome, ServerId};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::CONTENT_TYPE;
use hyper::{Request, Response};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{timeout, timeout_at, Instant};

/// A health check that has not been answered by then has timed out.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// All bytes that one answer may bring: its body, what its framing adds, and heads, those of 1xx answers
/// ahead of it among them. A server that goes on past that is noise, however well formed.
const MAX_ANSWER: u64 = 2 * (MAX_BODY + MAX_HEAD) as u64;

/// Sends requests to servers over a pool of connections.
pub struct ServerClient {
    pool: Rc<ConnectionPool>,
    load_report_fields: Vec<String>,
}

impl ServerClient {
    /// A client over this pool; load reports hold these fields.
    pub fn new(pool: Rc<ConnectionPool>, load_report_fields: Vec<String>) -> Self {
        ServerClient { pool, load_report_fields }
    }

    /// The connections that it uses.
    pub fn pool(&self) -> &ConnectionPool {
        &self.pool
    }

    /// Sends an attempt and waits for its end, until `deadline` at the longest.
    pub async fn send_attempt(
        &self,
        server: ServerId,
        request: Request<Full<Bytes>>,
        deadline: Instant,
        progress: &AttemptProgress,
    ) -> AttemptOutcome {
        let failure = tokio::select! {
            biased;
            () = progress.cancelled() => Some(Outcome::Cancelled),
            ended = timeout_at(deadline, self.start_attempt(server, request, progress)) => match ended {
                Ok(Some(ended)) => return ended,
                Ok(None) => None,
                Err(_) => Some(Outcome::TimedOut),
            },
        };
        // Whether a broken attempt may have run rests on the bytes that went out and on nothing else.
        AttemptOutcome::without_answer(match (progress.may_have_run(), failure) {
            (true, failure) => failure.unwrap_or(Outcome::ConnectionReset),
            (false, _) if progress.is_cancelled() => Outcome::NotSent,
            (false, _) => Outcome::ConnectFailed,
        })
    }

    /// None if the connection broke on the way.
    async fn start_attempt(
        &self,
        server: ServerId,
        request: Request<Full<Bytes>>,
        progress: &AttemptProgress,
    ) -> Option<AttemptOutcome> {
        let connection = match self.pool.acquire(server).await {
            Ok(connection) => connection,
            Err(outcome) => return Some(AttemptOutcome::without_answer(outcome)),
        };
        // It may have come up late: by now the request may be over, and the server have left.
        if progress.is_cancelled() || !self.pool.is_current(&connection) {
            self.pool.release(connection);
            return Some(AttemptOutcome::without_answer(Outcome::NotSent));
        }
        let written_when_complete = connection.wire().written() + min_size(&request);
        progress.start_writing(connection.wire(), written_when_complete);
        self.exchange(connection, request, written_when_complete).await
    }

    /// Checks a server's health, and asks for its load where servers report it.
    pub async fn check_health(&self, server: ServerId) -> AttemptOutcome {
        let path = if self.load_report_fields.is_empty() { "/health" } else { "/status/load" };
        let request = Request::get(path).header("host", "backend").body(Full::default());
        let exchange = async {
            let connection = self.pool.acquire(server).await?;
            let request = request.map_err(|_| Outcome::NotSent)?;
            let written_when_complete = connection.wire().written() + min_size(&request);
            let ended = self.exchange(connection, request, written_when_complete).await;
            ended.ok_or(Outcome::ConnectionReset)
        };
        let ended = timeout(HEALTH_CHECK_TIMEOUT, exchange).await.unwrap_or(Err(Outcome::TimedOut));
        let mut ended = ended.unwrap_or_else(AttemptOutcome::without_answer);
        if let (None, Some(answer)) = (&ended.load_report, &ended.answer) {
            let text = std::str::from_utf8(&answer.body).ok();
            ended.load_report = text.and_then(|text| parse_load_report(text, &self.load_report_fields));
        }
        ended
    }

    /// One request and its complete answer over a connection; none if that broke on the way. The request's
    /// last byte is out when `written_when_complete` bytes have been written.
    async fn exchange(
        &self,
        mut connection: Connection,
        request: Request<Full<Bytes>>,
        written_when_complete: u64,
    ) -> Option<AttemptOutcome> {
        connection.wire().allow_reading(MAX_ANSWER);
        let response = connection.send_request(request).await.ok()?;
        let outcome = outcome_of(&response);
        let load_report = load_report_of(&response, &self.load_report_fields);
        // A server begins with the last byte. What is served before it has come is something else, and who
        // rejects the request must not get the rest of it.
        if connection.wire().written() < written_when_complete {
            connection.wire().close_writing();
            let failed = AttemptOutcome { outcome, load_report, answer: None };
            return (outcome != Outcome::Success).then_some(failed);
        }
        if !has_known_length(&response) {
            return None;
        }
        let answer = read_answer(response).await?;
        self.release_when_ready(connection);
        let answer = (outcome == Outcome::Success).then_some(answer);
        Some(AttemptOutcome { outcome, load_report, answer })
    }

    /// A connection that brings more than the answer is closed by hyper instead of becoming ready. The answer
    /// is good all the same and does not wait for that.
    fn release_when_ready(&self, mut connection: Connection) {
        if connection.is_ready() {
            return self.pool.release(connection);
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

async fn read_answer(response: Response<Incoming>) -> Option<ServedAnswer> {
    let content_type = response.headers().get(CONTENT_TYPE).cloned();
    let body = Limited::new(response.into_body(), MAX_BODY).collect().await.ok()?.to_bytes();
    Some(ServedAnswer { content_type, body })
}

/// The bytes of a request as they go out, or a few less: short of them, its last byte is not out.
fn min_size(request: &Request<Full<Bytes>>) -> u64 {
    let request_line =
        request.method().as_str().len() + request.uri().path().len() + " ".len() + " HTTP/1.1\r\n".len();
    let header_size = |name: &str, value: &[u8]| name.len() + value.len() + ": \r\n".len();
    let headers = request.headers().iter();
    let headers: usize = headers.map(|(name, value)| header_size(name.as_str(), value.as_bytes())).sum();
    let query = request.uri().query().map_or(0, |query| query.len() + "?".len());
    let body = request.body().size_hint().exact().unwrap_or(0);
    (request_line + query + headers + "\r\n".len()) as u64 + body
}

#[cfg(test)]
mod tests;
