//! Whether requests can still get a response in time, and when a rejected client should retry.

use crate::policy::latency::FleetLatency;
use crate::policy::requests::ActiveRequest;
use crate::{ClassId, Settings, Span, Time};

/// Fraction of its class's typical latency that a request must have left to get a response in time.
const MIN_LATENCY_FRACTION: f64 = 0.7;
/// Multiple of its class's current latency that a queued request must have left until its objective deadline.
const QUEUE_MARGIN_FACTOR: f64 = 2.0;
/// Upper bound of the time that a queued request must have left, as a fraction of its latency objective.
const MAX_QUEUE_MARGIN_FRACTION: f64 = 0.7;
/// Fraction of the latency objective after which a rejected client is advised to retry, early enough for a
/// response in time.
const RETRY_AFTER_FRACTION: f64 = 0.25;

/// Decides whether requests can still get a response in time.
pub struct Timeliness<'a> {
    /// The current time.
    pub now: Time,
    /// The settings of the balancer.
    pub settings: &'a Settings,
    /// The latencies of the request classes.
    pub latency: &'a FleetLatency,
}

impl Timeliness<'_> {
    /// Whether a response would come too late to have any value if the request were sent now.
    pub fn is_too_late(&self, active: &ActiveRequest) -> bool {
        let class = self.settings.class(active.class());
        let typical_ratio = self.latency.typical_ratio(active.class()).value();
        let last_useful = if class.late_value > 0.0 { active.deadline } else { active.objective_deadline };
        self.now + class.latency_objective * (MIN_LATENCY_FRACTION * typical_ratio) >= last_useful
    }

    /// Whether a queued request has too little time left, so that it must be rejected or failed.
    pub fn has_waited_too_long(&self, active: &ActiveRequest) -> bool {
        let objective = self.settings.class(active.class()).latency_objective;
        let current_ratio = self.latency.current_ratio(active.class()).value();
        let margin = (QUEUE_MARGIN_FACTOR * current_ratio).min(MAX_QUEUE_MARGIN_FRACTION);
        self.is_too_late(active) || self.now + objective * margin >= active.objective_deadline
    }
}

/// Returns after how long a rejected client should retry, or `None` if the settings do not allow such advice.
pub fn retry_after(settings: &Settings, class: ClassId) -> Option<Span> {
    let delay = settings.class(class).latency_objective * RETRY_AFTER_FRACTION;
    settings.sends_retry_after.then_some(delay.min(settings.max_retry_after))
}

#[cfg(test)]
mod tests;
