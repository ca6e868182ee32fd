//! How much of the latency objective of its class a new request has left.

use super::typical_timeout::TypicalTimeout;
use crate::{ClassId, Settings, Span};

/// The typical timeouts of the request classes, which show how much of its latency objective a new request
/// has left.
///
/// A request with a different timeout is taken to be a client's own retry, which has already used some of
/// the latency objective.
pub struct ObjectiveTracker {
    /// The typical timeout of each class, by class id.
    typical_timeouts: Vec<TypicalTimeout>,
}

impl ObjectiveTracker {
    /// Creates the state before any request has arrived, for `class_count` classes.
    pub fn new(class_count: usize) -> Self {
        ObjectiveTracker { typical_timeouts: vec![TypicalTimeout::default(); class_count] }
    }

    /// Returns what is left of the class's latency objective for a new request whose deadline is `time_left`
    /// from now. If the request is a client's own retry, the time that its earlier attempts took is deducted.
    pub fn objective_left(&mut self, settings: &Settings, class: ClassId, time_left: Span) -> Span {
        let is_first_attempt =
            self.typical_timeouts[class.0].detect_first_attempt(time_left, settings.event_interval);
        let class = settings.class(class);
        let used = if is_first_attempt { Span::ZERO } else { class.timeout.saturating_sub(time_left) };
        class.latency_objective.saturating_sub(used)
    }
}
