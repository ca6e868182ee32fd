//! The record of what clients, servers and the platform did in one life, and its check against the rules.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How much later than its timeout a final response may come (STANDING page).
const MAX_LATENESS: Duration = Duration::from_millis(500);
/// How long after the close of its client an attempt may still begin (STANDING page), with the slack of sockets
/// (PROTOCOL page).
const MAX_BEGIN_AFTER_CLOSE: Duration = Duration::from_millis(150);
/// How much more than its client has left an attempt may tell its server (STANDING page).
const MAX_EXCESS_TIME: Duration = Duration::from_millis(150);

/// How a client's request ended.
#[derive(Debug, Clone)]
pub enum Ending {
    /// A whole response with this status and body.
    Response { status: u16, body: Vec<u8> },
    /// The agent closed the connection without a whole response.
    ClosedByAgent,
    /// The client closed the connection.
    ClosedByClient,
}

/// A request of a client that behaves.
struct ClientRequest {
    sent_at: Instant,
    timeout: Duration,
    may_run_twice: bool,
    ended: Option<(Instant, Ending)>,
}

/// An attempt as its server saw it.
pub struct Attempt {
    /// When its first bytes had arrived.
    pub began_at: Instant,
    /// When its last byte had arrived.
    pub received_at: Instant,
    /// The time that the attempt told the server.
    pub told_time: Duration,
    /// Whether the server ran it.
    pub has_run: bool,
}

#[derive(Default)]
struct Entries {
    requests: HashMap<String, ClientRequest>,
    attempts: HashMap<String, Vec<Attempt>>,
    violations: Vec<String>,
}

/// The record of one life. Clones share it.
#[derive(Clone, Default)]
pub struct Ledger(Arc<Mutex<Entries>>);

/// The numbers of requests by their endings.
#[derive(Debug, Default, Clone, Copy)]
pub struct Tally {
    /// Requests with a server's response.
    pub served: usize,
    /// Requests that were rejected with 429 or 503.
    pub rejected: usize,
    /// Requests with another response.
    pub failed: usize,
    /// Requests whose clients left.
    pub left: usize,
}

impl Ledger {
    fn entries(&self) -> std::sync::MutexGuard<'_, Entries> {
        self.0.lock().expect("no test task should panic with the ledger")
    }

    /// Records that a client has sent the last byte of a request.
    pub fn record_request(&self, id: &str, timeout: Duration, may_run_twice: bool) {
        let request = ClientRequest { sent_at: Instant::now(), timeout, may_run_twice, ended: None };
        self.entries().requests.insert(id.to_owned(), request);
    }

    /// Records how a request ended.
    pub fn record_ending(&self, id: &str, ending: Ending) {
        if let Some(request) = self.entries().requests.get_mut(id) {
            request.ended = Some((Instant::now(), ending));
        }
    }

    /// Records an attempt that a server has received completely.
    pub fn record_attempt(&self, id: &str, attempt: Attempt) {
        self.entries().attempts.entry(id.to_owned()).or_default().push(attempt);
    }

    /// Returns whether an attempt of this request has reached a server.
    pub fn has_attempt(&self, id: &str) -> bool {
        self.entries().attempts.contains_key(id)
    }

    /// Records a violation that was seen directly.
    pub fn record_violation(&self, text: String) {
        self.entries().violations.push(text);
    }

    /// Checks all requests. Returns the numbers of their endings and the violations.
    pub fn check(&self) -> (Tally, Vec<String>) {
        let entries = self.entries();
        let mut tally = Tally::default();
        let mut violations = entries.violations.clone();
        for (id, request) in &entries.requests {
            let attempts = entries.attempts.get(id).map_or(&[][..], Vec::as_slice);
            let texts = check_request(id, request, attempts);
            violations.extend(texts.into_iter().map(|text| format!("{id}: {text}")));
            match &request.ended {
                Some((_, Ending::Response { status: 200, .. })) => tally.served += 1,
                Some((_, Ending::Response { status: 429 | 503, .. })) => tally.rejected += 1,
                Some((_, Ending::ClosedByClient)) => tally.left += 1,
                Some(_) | None => tally.failed += 1,
            }
        }
        (tally, violations)
    }
}

/// Returns the violations of one request.
fn check_request(id: &str, request: &ClientRequest, attempts: &[Attempt]) -> Vec<String> {
    let mut violations = Vec::new();
    let runs = attempts.iter().filter(|attempt| attempt.has_run).count();
    if runs > 1 && !request.may_run_twice {
        violations.push(format!("ran {runs} times"));
    }
    for attempt in attempts {
        let told_until = attempt.began_at + attempt.told_time;
        if told_until > request.sent_at + request.timeout + MAX_EXCESS_TIME {
            let elapsed = attempt.began_at.saturating_duration_since(request.sent_at);
            let (told, timeout) = (attempt.told_time, request.timeout);
            violations.push(format!("an attempt tells {told:?}, {elapsed:?} after the start of {timeout:?}"));
        }
    }
    match &request.ended {
        None => violations.push("no final response".to_owned()),
        Some((at, ending)) => violations.extend(check_ending(id, request, runs, *at, ending, attempts)),
    }
    violations
}

fn check_ending(
    id: &str,
    request: &ClientRequest,
    runs: usize,
    at: Instant,
    ending: &Ending,
    attempts: &[Attempt],
) -> Option<String> {
    match ending {
        Ending::ClosedByClient => {
            let late = attempts.iter().find(|attempt| attempt.received_at > at + MAX_BEGIN_AFTER_CLOSE)?;
            Some(format!("an attempt began {:?} after its client left", late.received_at - at))
        }
        Ending::ClosedByAgent => Some("closed without a response".to_owned()),
        Ending::Response { .. } if at > request.sent_at + request.timeout + MAX_LATENESS => {
            Some(format!("the response came after {:?} of {:?}", at - request.sent_at, request.timeout))
        }
        Ending::Response { status: 200, body } if !body.starts_with(id.as_bytes()) => {
            Some(format!("foreign response {:?}", String::from_utf8_lossy(&body[..body.len().min(40)])))
        }
        Ending::Response { status: 429 | 503, .. } if runs > 0 && !request.may_run_twice => {
            Some("rejected although it ran".to_owned())
        }
        Ending::Response { .. } => None,
    }
}
