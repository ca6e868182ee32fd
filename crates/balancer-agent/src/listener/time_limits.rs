//! Limits on the time that a client connection may stay in each phase.

use super::shutdown::ShutdownSchedule;
use super::slot_usage::SlotUsage;
use crate::framing::{ConnectionState, Phase};
use std::time::Duration;
use tokio::time::Instant;

/// How long a connection must have been silent before it may be evicted when all slots are in use. Clients
/// connect when they have a request to send, so the first byte follows soon.
pub const MIN_SILENT_TIME: Duration = Duration::from_millis(100);
/// How long a connection must have been idle before it may be closed. The agent guarantees clients at least
/// 2 s (TERMS page, "Requests and connections").
pub const MIN_IDLE_TIME: Duration = Duration::from_millis(2_050);
/// The time within which a request must be received completely.
///
/// The time counts from the connect for the first request of a connection, and from the first byte of the
/// request for later ones (docs/findings/late-request-cut-off.md). A connection that had to wait for a slot
/// has at least [`MIN_SILENT_TIME`] after that.
///
/// Connections without a complete request occupy slots that other clients need. The agent must respond on
/// such a connection or close it within 3 s (TERMS page, "Peers").
pub const READ_TIMEOUT: Duration = Duration::from_millis(2_300);
/// How long a connection may be idle at low slot usage.
const MAX_IDLE_TIME: Duration = Duration::from_secs(10);
/// How long the agent waits after the last response for the client to close the connection
/// (docs/findings/closes.md).
pub const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// The time limits of one connection.
pub struct TimeLimits {
    /// When the first request must have been received completely.
    first_request_by: Instant,
    /// Until when the connection may be silent in any case.
    min_silent_until: Instant,
    longest_timeout: Duration,
}

impl TimeLimits {
    /// Creates the limits of a connection that is served from now on. `longest_timeout` is the longest that
    /// clients wait for a response.
    pub fn new(state: &ConnectionState, longest_timeout: Duration) -> Self {
        let min_silent_until = Instant::now() + MIN_SILENT_TIME;
        let first_request_by = min_silent_until.max(state.connected_at() + READ_TIMEOUT);
        TimeLimits { first_request_by, min_silent_until, longest_timeout }
    }

    /// Returns the time until which the connection may stay in its current phase, or `None` if the phase has
    /// no limit.
    pub fn current(
        &self,
        state: &ConnectionState,
        usage: SlotUsage,
        shutdown: Option<ShutdownSchedule>,
    ) -> Option<Instant> {
        let since = state.phase_since();
        match state.phase() {
            Phase::Silent => Some(self.silent_limit(shutdown)),
            Phase::Receiving if state.has_sent_response() => Some(since + READ_TIMEOUT),
            Phase::Receiving => Some(self.first_request_by),
            // The request handler responds shortly after the request's deadline at the latest.
            Phase::Processing => None,
            // The client has stopped waiting for the response by then.
            Phase::Responding => Some(since + self.longest_timeout.max(MIN_IDLE_TIME)),
            Phase::Idle => Some(since + max_idle_time(usage)),
            Phase::Closing => Some(since + CLOSE_TIMEOUT),
        }
    }

    /// Returns the time at which the connection is closed if no byte has been received by then.
    ///
    /// During a shutdown, the limit is no later than the end of the time in which connections are accepted.
    /// However, a connection may always be silent for [`MIN_SILENT_TIME`] after it has got its slot.
    fn silent_limit(&self, shutdown: Option<ShutdownSchedule>) -> Instant {
        let Some(schedule) = shutdown else { return self.first_request_by };
        let shutdown_limit = schedule.accept_until.max(self.min_silent_until);
        self.first_request_by.min(shutdown_limit)
    }
}

/// Returns how long a connection may be idle at this slot usage.
fn max_idle_time(usage: SlotUsage) -> Duration {
    match usage {
        SlotUsage::Low => MAX_IDLE_TIME,
        SlotUsage::Elevated | SlotUsage::High => MIN_IDLE_TIME,
    }
}

#[cfg(test)]
mod tests;
