//! Request classes, and the effect of processing a request twice.

use crate::time::Span;

/// The effect of processing a request twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum Effect {
    /// Processing the request twice has the same effect as processing it once.
    #[default]
    Idempotent,
    /// The request carries an idempotency key. Servers recognise a retry by its key and do not process the
    /// request again.
    Deduplicated {
        /// The servers that share a record of idempotency keys.
        scope: DedupScope,
        /// How long servers recognise retries, counted from the moment at which the first attempt that may
        /// have run was sent.
        window: Span,
    },
    /// Processing the request twice would duplicate its effect, so it must not run twice.
    AtMostOnce,
}

/// The servers that share a record of idempotency keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DedupScope {
    /// All servers share one record.
    Fleet,
    /// The servers of each zone share a record.
    Zone,
    /// The servers of each cell share a record.
    Cell,
}

/// The settings of a request class.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestClass {
    /// The effect of processing a request of this class twice.
    pub effect: Effect,
    /// The latency within which a response has its full value.
    pub latency_objective: Span,
    /// The multiple of the request's work by which the latency objective grows, up to the timeout. The
    /// balancer's decisions do not depend on this.
    pub objective_stretch: f64,
    /// How long a client waits for a response in total, including all of its own retries.
    pub timeout: Span,
    /// The value of a response within the latency objective.
    pub priority_weight: f64,
    /// The fraction of its value that a response keeps if it comes after the latency objective and before
    /// the deadline.
    pub late_value: f64,
    /// Whether the response is a stream. [`Event::FirstByte`](crate::Event::FirstByte) announces the start
    /// of the stream.
    pub is_streaming: bool,
}

impl Default for RequestClass {
    fn default() -> Self {
        RequestClass {
            effect: Effect::Idempotent,
            latency_objective: Span::from_millis(500),
            objective_stretch: 0.0,
            timeout: Span::from_millis(1000),
            priority_weight: 1.0,
            late_value: 0.0,
            is_streaming: false,
        }
    }
}
