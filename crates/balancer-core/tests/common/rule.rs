//! The rules that a balancer must follow, and their violations.

use balancer_core::Time;

/// A rule that an action can violate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// A request is sent only to a server that has been in the endpoint list.
    KnownServer,
    /// Only requests that have been submitted are sent, rejected or failed.
    KnownRequest,
    /// A request is not sent after its final response or after its client has disconnected.
    NoSendAfterFinalResponse,
    /// A request is not sent again after its response has begun to stream.
    NoSendWhileStreaming,
    /// A request has no more attempts than the settings allow.
    MaxAttempts,
    /// A request has at most one attempt in flight, unless the settings allow hedged requests.
    NoHedgingUnlessAllowed,
    /// No attempt is sent after the client's deadline, and no attempt times out after it.
    NoSendPastDeadline,
    /// A request that may have run is not sent again, unless its effect allows that.
    NoRetryAfterItMayHaveRun,
    /// A request that may have run is sent again only to servers that recognise it as a retry.
    RetryWithinDeduplicationScope,
    /// No attempt is sent to a server that has been draining or removed for longer than the drain grace.
    NoSendToDrainingServer,
    /// A request that may have run is not rejected, unless its effect allows that.
    NoRejectionAfterItMayHaveRun,
    /// A request gets at most one final response.
    OneFinalResponse,
    /// A request gets its final response by its client's deadline, or a short grace period later.
    FinalResponseInTime,
    /// A server that is warming up is not sent so much work that it would fail.
    SlowStart,
}

/// An action that violated a rule.
#[derive(Debug, Clone)]
pub struct Violation {
    /// The time of the action.
    pub at: Time,
    /// The violated rule.
    pub rule: Rule,
    /// A description of the action.
    pub details: String,
}
