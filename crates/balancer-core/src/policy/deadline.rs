//! Deadlines: what a request's remaining time still allows.

use crate::state::ActiveRequest;
use crate::{Balancer, Span};

/// A request is given up when not even this part of its class's usual latency is left.
const MIN_LATENCY_PART: f64 = 0.7;
/// A queued request needs this multiple of its class's present latency, or this share of its objective.
const QUEUE_MARGIN: f64 = 2.0;
const MAX_QUEUE_MARGIN: f64 = 0.7;
/// A rejected client is advised to retry after this share of the objective, in time for an answer.
const RETRY_AFTER_SHARE: f64 = 0.25;

impl Balancer {
    /// What is left of a class's latency objective when its client still waits for `time_left`.
    pub(crate) fn objective_left(&mut self, class: usize, time_left: Span) -> Span {
        let is_first = self.usual_timeouts[class].is_first_try(time_left, self.settings.event_interval);
        let class = &self.settings.classes[class];
        let spent = if is_first { Span::ZERO } else { class.deadline.saturating_sub(time_left) };
        class.latency_objective.saturating_sub(spent)
    }

    /// Sent now, the request would not be answered while an answer has a value.
    pub(crate) fn cannot_be_in_time(&self, active: &ActiveRequest) -> bool {
        let class = &self.settings.classes[active.class()];
        let typical_ratio = self.latency.classes[active.class()].typical_ratio;
        let last_useful = if class.late_value > 0.0 { active.deadline } else { active.objective_deadline };
        self.now + class.latency_objective * (MIN_LATENCY_PART * typical_ratio) >= last_useful
    }

    /// The request has waited in the queue for so long that it must be given up.
    pub(crate) fn has_waited_too_long(&self, active: &ActiveRequest) -> bool {
        let objective = self.settings.classes[active.class()].latency_objective;
        let current_ratio = self.latency.classes[active.class()].current_ratio;
        let margin = (QUEUE_MARGIN * current_ratio).min(MAX_QUEUE_MARGIN);
        self.cannot_be_in_time(active) || self.now + objective * margin >= active.objective_deadline
    }

    /// When a rejected client should retry, if the settings allow such advice.
    pub(crate) fn retry_after(&self, class: usize) -> Option<Span> {
        let advice = self.settings.classes[class].latency_objective * RETRY_AFTER_SHARE;
        self.settings.sends_retry_after.then_some(advice.min(self.settings.max_retry_after))
    }
}
