//! Classes of requests and what repeating them does.

use crate::time::Span;

/// What repeating a request would do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum Effect {
    /// Nothing: it is safe to repeat.
    #[default]
    Idempotent,
    /// The request carries an idempotency key, by which servers drop a repeat.
    Deduplicated {
        /// Which servers share their record of keys.
        scope: DedupScope,
        /// For how long they drop repeats, from the send of the first attempt that may have run.
        window: Span,
    },
    /// A second effect: it must not run twice.
    AtMostOnce,
}

/// The servers that share a record of idempotency keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DedupScope {
    /// All servers.
    Fleet,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestClass {
    /// What a repeat would do.
    pub effect: Effect,
    /// The latency objective: an answer within it has its full value.
    pub latency_objective: Span,
    /// The objective grows by this multiple of the request's own work, up to the deadline. Not used by
    /// decisions.
    pub objective_stretch: f64,
    /// How long a client waits in all, over all its retries.
    pub deadline: Span,
    /// The value of a request that is answered within its objective.
    pub priority_weight: f64,
    /// The share of that value which an answer between objective and deadline keeps.
    pub late_value: f64,
    /// The answer is a stream, announced by [`Event::FirstByte`](crate::Event::FirstByte).
    pub is_streaming: bool,
}

impl Default for RequestClass {
    fn default() -> Self {
        RequestClass {
            effect: Effect::Idempotent,
            latency_objective: Span::from_millis(500),
            objective_stretch: 0.0,
            deadline: Span::from_millis(1000),
            priority_weight: 1.0,
            late_value: 0.0,
            is_streaming: false,
        }
    }
}
