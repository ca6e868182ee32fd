//! The rules that a balancer must keep.

use balancer_core::Time;

/// A rule that an action can violate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// Requests are sent only to servers of the endpoint list.
    KnownServer,
    /// Only submitted requests are sent or ended.
    KnownRequest,
    NoSendAfterTheEnd,
    /// A request whose response has begun to stream is not sent again.
    NoSendWhileStreaming,
    MaxAttempts,
    NoHedgingUnlessAllowed,
    NoSendPastTheDeadline,
    /// A request that may have run is not sent again, unless its effect permits it.
    NoRetryAfterItMayHaveRun,
    /// A request that may have run is sent only to servers that deduplicate it.
    RetryWithinDeduplicationScope,
    /// Nothing is sent to a server that is draining or removed.
    NoSendToDrainingServer,
    /// A request that may have run is not rejected, unless its effect permits it.
    NoRejectionAfterItMayHaveRun,
    /// A request has one final answer.
    OneEnd,
    /// A request has its final answer by its client's deadline.
    EndInTime,
    /// A server in slow start is sent at most its share.
    SlowStart,
}

/// A violation of a rule.
#[derive(Debug, Clone)]
pub struct Violation {
    pub at: Time,
    pub rule: Rule,
    pub details: String,
}
