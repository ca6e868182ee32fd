//! Until when the answer to a request meets its latency objective.

use super::usual_timeout::UsualTimeout;
use crate::{ClassId, Settings, Span};

/// What is known of the clients' timeouts, from which the objective of a client's own retry follows.
pub struct ObjectiveDeadlines {
    /// By class.
    usual_timeouts: Vec<UsualTimeout>,
}

impl ObjectiveDeadlines {
    /// Nothing is known of the clients' timeouts.
    pub fn new(class_count: usize) -> Self {
        ObjectiveDeadlines { usual_timeouts: vec![UsualTimeout::default(); class_count] }
    }

    /// What is left of the class's latency objective for a new request whose client waits for `time_left`. A
    /// client's own retry has spent some of it on its earlier tries.
    pub fn objective_left(&mut self, settings: &Settings, class: ClassId, time_left: Span) -> Span {
        let is_first_try = self.usual_timeouts[class.0].is_first_try(time_left, settings.event_interval);
        let class = settings.class(class);
        let spent = if is_first_try { Span::ZERO } else { class.deadline.saturating_sub(time_left) };
        class.latency_objective.saturating_sub(spent)
    }
}
