//! How much of the latency objective of its class a new request has left.

use super::typical_timeout::TypicalTimeout;
use crate::{Request, Settings, Span};

/// The typical timeouts of the request classes, which show how much of its latency objective a new request
/// has left.
///
/// A client's own retry has already used some of the latency objective. Where clients do not mark their
/// retries, a request with a shorter timeout is taken to be one.
pub struct ObjectiveTracker {
    /// The typical timeout of each class, by class id.
    typical_timeouts: Vec<TypicalTimeout>,
}

impl ObjectiveTracker {
    /// Creates the state before any request has arrived, for `class_count` classes.
    pub fn new(class_count: usize) -> Self {
        ObjectiveTracker { typical_timeouts: vec![TypicalTimeout::default(); class_count] }
    }

    /// Returns what is left of the class's latency objective for a new request. If the request is a client's
    /// own retry, the time that its earlier attempts took is deducted.
    pub fn objective_left(&mut self, settings: &Settings, request: &Request) -> Span {
        let typical_timeout = &mut self.typical_timeouts[request.class.0];
        let has_retry_timeout = typical_timeout.detect_retry(request.time_left, settings.event_interval);
        let is_retry =
            if settings.clients_mark_retries { request.is_client_retry } else { has_retry_timeout };
        let class = settings.class(request.class);
        let used = if is_retry { class.timeout.saturating_sub(request.time_left) } else { Span::ZERO };
        class.latency_objective.saturating_sub(used)
    }
}

#[cfg(test)]
mod tests;
