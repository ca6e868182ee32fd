//! How long a client connection may stay in each phase.

use super::shutdown::ShutdownSchedule;
use super::slot_usage::SlotUsage;
use crate::framing::{ConnectionState, Phase};
use std::time::Duration;
use tokio::time::Instant;

/// A connection that has sent nothing for this long may be evicted when all slots are in use: clients connect
/// when they have a request to send.
pub const MIN_SILENT_TIME: Duration = Duration::from_millis(100);
/// How long a connection must have been idle before it may be closed. Clients are promised 2 s (TERMS page,
/// "Requests and connections").
pub const MIN_IDLE_TIME: Duration = Duration::from_millis(2_050);
/// A request must be received completely within this time of its first byte, and a connection's first request
/// within this time of the accept. Connections that send nothing or half a request hold slots that others
/// need; each must be answered or closed within 3 s (TERMS page, "Peers"). See
/// docs/findings/late-request-cut-off.md for why later requests are timed on their own.
pub const READ_TIMEOUT: Duration = Duration::from_millis(2_300);
/// How long a connection may be idle while slot usage is low.
const MAX_IDLE_TIME: Duration = Duration::from_secs(10);
/// How long a connection waits for its client to close it after the last answer (docs/findings/closes.md).
pub const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// The time limits of one connection.
pub struct TimeLimits {
    accepted_at: Instant,
    longest_deadline: Duration,
}

impl TimeLimits {
    /// The limits of a connection that is accepted now. `longest_deadline` is the longest that a client waits
    /// for an answer.
    pub fn starting_now(longest_deadline: Duration) -> Self {
        TimeLimits { accepted_at: Instant::now(), longest_deadline }
    }

    /// Until when the connection may stay in its phase; `None` if the phase ends by itself.
    pub fn current(
        &self,
        state: &ConnectionState,
        usage: SlotUsage,
        shutdown: Option<ShutdownSchedule>,
    ) -> Option<Instant> {
        let since = state.phase_since();
        match state.phase() {
            Phase::Silent => Some(self.silent_limit(shutdown)),
            Phase::Receiving if state.has_answered() => Some(since + READ_TIMEOUT),
            // The first request's time counts from the accept.
            Phase::Receiving => Some(self.accepted_at + READ_TIMEOUT),
            // The request handler answers by the request's deadline.
            Phase::Processing => None,
            // No client waits for an answer longer than this.
            Phase::Answering => Some(since + self.longest_deadline.max(MIN_IDLE_TIME)),
            Phase::Idle => Some(since + max_idle_time(usage)),
            Phase::Closing => Some(since + CLOSE_TIMEOUT),
        }
    }

    /// The limit before the first byte. During a shutdown a silent connection is closed when accepting ends,
    /// but not before it has had [`MIN_SILENT_TIME`] for its first request.
    fn silent_limit(&self, shutdown: Option<ShutdownSchedule>) -> Instant {
        let limit = self.accepted_at + READ_TIMEOUT;
        let Some(schedule) = shutdown else { return limit };
        let shutdown_limit = schedule.accept_until.max(self.accepted_at + MIN_SILENT_TIME);
        limit.min(shutdown_limit)
    }
}

fn max_idle_time(usage: SlotUsage) -> Duration {
    match usage {
        SlotUsage::Low => MAX_IDLE_TIME,
        SlotUsage::Elevated | SlotUsage::High => MIN_IDLE_TIME,
    }
}

#[cfg(test)]
mod tests;
