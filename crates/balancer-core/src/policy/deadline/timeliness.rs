//! What a request's remaining time still allows.

use crate::policy::latency::FleetLatency;
use crate::policy::requests::ActiveRequest;
use crate::{ClassId, Settings, Span, Time};

/// A request is given up when not even this part of its class's usual latency is left.
const MIN_LATENCY_PART: f64 = 0.7;
/// A queued request needs this multiple of its class's present latency ...
const QUEUE_MARGIN: f64 = 2.0;
/// ... but no more than this share of its objective.
const MAX_QUEUE_MARGIN: f64 = 0.7;
/// A rejected client is advised to retry after this share of the objective, in time for an answer.
const RETRY_AFTER_SHARE: f64 = 0.25;

/// Judges whether requests can still be answered in time.
pub struct Timeliness<'a> {
    pub now: Time,
    pub settings: &'a Settings,
    pub latency: &'a FleetLatency,
}

impl Timeliness<'_> {
    /// Whether the request, sent now, would not be answered while an answer has a value.
    pub fn cannot_be_in_time(&self, active: &ActiveRequest) -> bool {
        let class = self.settings.class(active.class());
        let typical_ratio = self.latency.typical_ratio(active.class()).value();
        let last_useful = if class.late_value > 0.0 { active.deadline } else { active.objective_deadline };
        self.now + class.latency_objective * (MIN_LATENCY_PART * typical_ratio) >= last_useful
    }

    /// Whether the request has waited in the queue for so long that it must be given up.
    pub fn has_waited_too_long(&self, active: &ActiveRequest) -> bool {
        let objective = self.settings.class(active.class()).latency_objective;
        let current_ratio = self.latency.current_ratio(active.class()).value();
        let margin = (QUEUE_MARGIN * current_ratio).min(MAX_QUEUE_MARGIN);
        self.cannot_be_in_time(active) || self.now + objective * margin >= active.objective_deadline
    }
}

/// When a rejected client should retry, if the settings allow such advice.
pub fn retry_after(settings: &Settings, class: ClassId) -> Option<Span> {
    let advice = settings.class(class).latency_objective * RETRY_AFTER_SHARE;
    settings.sends_retry_after.then_some(advice.min(settings.max_retry_after))
}

#[cfg(test)]
mod tests;
