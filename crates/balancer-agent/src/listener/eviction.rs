//! The eviction of client connections: which of them may be closed to make room for others, and in which
//! order.

use super::time_limits::{MIN_IDLE_TIME, MIN_SILENT_TIME};
use crate::framing::{ConnectionState, Phase};
use std::time::Duration;
use tokio::time::Instant;

/// How long a client must have sent nothing within a request before its connection may be evicted.
const MIN_STALL_TIME: Duration = Duration::from_millis(100);
/// How long a request must have been arriving before its connection may be evicted although its client still
/// sends.
const MIN_ARRIVAL_TIME: Duration = Duration::from_millis(250);

/// The place of an evictable connection in the order of eviction; the lowest rank comes first.
///
/// Among equals, the connection that has been in its phase the longest comes first, and among stalled
/// requests the one of which nothing has arrived for the longest.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EvictionRank {
    cost: EvictionCost,
    since: Instant,
}

/// What the eviction of a connection costs its client, from the least to the most.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionCost {
    /// A connection without a request: the client has sent none, or has got its last response.
    None,
    /// A connection that the client may use again: the client needs a new one.
    Reconnect,
    /// A request of which nothing more arrives: it is rejected, but is unlikely to become complete.
    StalledRequest,
    /// A request that is still arriving: it is rejected.
    ArrivingRequest,
}

impl EvictionRank {
    /// Returns the rank of a connection in this state, or `None` if it may not be evicted now. A connection
    /// whose request has been received completely is never evicted before the response.
    pub fn of(state: &ConnectionState) -> Option<Self> {
        let (cost, since, min_time) = match state.phase() {
            Phase::Silent => (EvictionCost::None, state.phase_since(), MIN_SILENT_TIME),
            Phase::Closing => (EvictionCost::None, state.phase_since(), Duration::ZERO),
            Phase::Idle => (EvictionCost::Reconnect, state.phase_since(), MIN_IDLE_TIME),
            Phase::Receiving if state.last_received_at().elapsed() >= MIN_STALL_TIME => {
                (EvictionCost::StalledRequest, state.last_received_at(), MIN_STALL_TIME)
            }
            Phase::Receiving => (EvictionCost::ArrivingRequest, state.phase_since(), MIN_ARRIVAL_TIME),
            Phase::Processing | Phase::Responding => return None,
        };
        (since.elapsed() >= min_time).then_some(EvictionRank { cost, since })
    }
}

#[cfg(test)]
mod tests;
