//! The log of what the agent does not serve: refused and failed requests, failed attempts, and connections that
//! it closes although a client may still need them.
//!
//! Each event is a log line, but at most [`MAX_LINES`] in an interval, so that a flood of bad requests does not
//! become a flood of lines. At the end of an interval a summary counts all events.

use crate::framing::Phase;
use crate::logging::log_line;
use crate::memory::MemoryBudget;
use balancer_core::{AttemptNumber, Outcome};
use hyper::StatusCode;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::time::Duration;
use tokio::time::Instant;

/// The length of an interval.
const INTERVAL: Duration = Duration::from_secs(10);
/// The maximum number of events that are logged one by one in an interval.
const MAX_LINES: u64 = 20;
/// The maximum length of an id in a log line, in bytes.
const MAX_ID_BYTES: usize = 64;

/// The id of a request as the client sent it, shortened for the log.
#[derive(Debug, Clone, Default)]
pub struct LoggedId(Box<str>);

impl LoggedId {
    /// Creates the logged form of an id. Ids are shortened to [`MAX_ID_BYTES`], and escaped when they are written.
    pub fn new(id: &str) -> Self {
        LoggedId(id.chars().take(MAX_ID_BYTES).collect())
    }
}

impl fmt::Display for LoggedId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0.escape_default())
    }
}

/// Something that the agent does not serve.
pub enum Event<'a> {
    /// A request that was not forwarded, because it is invalid or there is no memory for it.
    Refused {
        /// The id of the request.
        id: &'a LoggedId,
        /// Why the request was refused.
        reason: &'a dyn fmt::Display,
    },
    /// A request whose final response is not a server's.
    Unserved {
        /// The id of the request.
        id: &'a LoggedId,
        /// The status of the final response.
        status: StatusCode,
    },
    /// An attempt that ended without a successful response.
    AttemptFailed {
        /// The id of the request.
        id: &'a str,
        /// The number of the attempt.
        attempt: AttemptNumber,
        /// The name of the server.
        server: &'a str,
        /// How the attempt ended.
        outcome: Outcome,
    },
    /// A client connection that exceeded the time limit of a phase.
    TimedOut {
        /// The phase of the connection.
        phase: Phase,
    },
    /// A client connection that was closed to make room for another one.
    Evicted,
}

/// The numbers of events in an interval.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Counts {
    served: u64,
    refused: u64,
    unserved: u64,
    failed_attempts: u64,
    timed_out: u64,
    evicted: u64,
}

impl Counts {
    /// Returns the number of events that are logged one by one.
    fn logged(&self) -> u64 {
        self.refused + self.unserved + self.failed_attempts + self.timed_out + self.evicted
    }
}

/// The log of events. It is written by the tasks of one thread.
pub struct ActivityLog {
    name: String,
    memory: MemoryBudget,
    counts: RefCell<Counts>,
    /// The highest number of reserved bytes that a summary or an event has seen in this interval.
    peak_reserved: Cell<usize>,
    interval_end: Cell<Instant>,
}

impl ActivityLog {
    /// Creates an empty log of the agent with this name.
    pub fn new(name: String, memory: MemoryBudget) -> Self {
        ActivityLog {
            name,
            memory,
            counts: RefCell::default(),
            peak_reserved: Cell::new(0),
            interval_end: Cell::new(Instant::now() + INTERVAL),
        }
    }

    /// Counts a request that was served.
    pub fn record_served(&self) {
        self.counts.borrow_mut().served += 1;
    }

    /// Counts an event, and logs it unless many have been logged in this interval.
    pub fn record(&self, event: &Event<'_>) {
        self.peak_reserved.set(self.peak_reserved.get().max(self.memory.reserved()));
        let is_logged = {
            let mut counts = self.counts.borrow_mut();
            match event {
                Event::Refused { .. } => counts.refused += 1,
                Event::Unserved { .. } => counts.unserved += 1,
                Event::AttemptFailed { .. } => counts.failed_attempts += 1,
                Event::TimedOut { .. } => counts.timed_out += 1,
                Event::Evicted => counts.evicted += 1,
            }
            counts.logged() <= MAX_LINES
        };
        if is_logged {
            self.log(event);
        }
    }

    fn log(&self, event: &Event<'_>) {
        let name = &self.name;
        match event {
            Event::Refused { id, reason } => log_line!("{name}: request {id} refused: {reason}"),
            Event::Unserved { id, status } => {
                log_line!("{name}: request {id} not served: status {}", status.as_u16());
            }
            Event::AttemptFailed { id, attempt, server, outcome } => {
                let id = LoggedId::new(id);
                log_line!("{name}: attempt {} of request {id} at {server} failed: {outcome:?}", attempt.0);
            }
            Event::TimedOut { phase } => log_line!("{name}: client connection timed out while {phase:?}"),
            Event::Evicted => log_line!("{name}: client connection closed to make room for another"),
        }
    }

    /// Logs the summary of the interval if the interval is over and it had an event. The caller calls this
    /// regularly.
    pub fn end_interval_if_due(&self) {
        let now = Instant::now();
        if now < self.interval_end.get() {
            return;
        }
        self.interval_end.set(now + INTERVAL);
        self.log_summary();
    }

    /// Logs the summary of the interval so far if it had an event, and begins the next interval.
    pub fn log_summary(&self) {
        let counts = self.counts.take();
        let peak_reserved = self.peak_reserved.take().max(self.memory.reserved());
        if counts.logged() == 0 {
            return;
        }
        let Counts { served, refused, unserved, failed_attempts, timed_out, evicted } = counts;
        log_line!(
            "{}: summary: {served} requests served, {refused} refused, {unserved} not served; \
             {failed_attempts} attempts failed; {timed_out} client connections timed out, {evicted} evicted; \
             {peak_reserved} of {} bytes reserved",
            self.name,
            self.memory.capacity()
        );
    }
}

#[cfg(test)]
mod tests;
