//! Whether requests can still get a response in time, and when a rejected client should retry.

use crate::policy::latency::FleetLatency;
use crate::policy::requests::ActiveRequest;
use crate::{ClassId, Settings, Span, Time};

/// The time that a request must have left to get a response in time, as a fraction of the typical latency of
/// its class.
const MIN_LATENCY_FRACTION: f64 = 0.7;
/// The time that a queued request must have left until its objective deadline, as a multiple of the current
/// latency of its class.
const QUEUE_MARGIN_FACTOR: f64 = 2.0;
/// Upper bound of the time that a queued request must have left, as a fraction of the latency objective of
/// its class.
const MAX_QUEUE_MARGIN_FRACTION: f64 = 0.7;
/// The delay after which a rejected client is advised to retry, as a fraction of the latency objective. The
/// delay is short enough that the retry can get a response in time.
const RETRY_AFTER_FRACTION: f64 = 0.25;

/// The state that determines whether requests can still get a response in time.
pub struct Timeliness<'a> {
    /// The current time.
    pub now: Time,
    /// The settings of the balancer.
    pub settings: &'a Settings,
    /// The latencies of the request classes and of the fleet.
    pub latency: &'a FleetLatency,
}

impl Timeliness<'_> {
    /// Returns whether a response would come too late to have any value if the request were sent now.
    ///
    /// If late responses have a value, a response must come before the deadline of the request. Otherwise it
    /// must come before the objective deadline.
    pub fn is_too_late(&self, active: &ActiveRequest) -> bool {
        let class = self.settings.class(active.class());
        let typical_ratio = self.latency.typical_ratio(active.class()).value();
        let last_useful = if class.late_value > 0.0 { active.deadline } else { active.objective_deadline };
        self.now + class.latency_objective * (MIN_LATENCY_FRACTION * typical_ratio) >= last_useful
    }

    /// Returns whether a queued request has too little time left, so that it must be rejected or failed.
    pub fn has_waited_too_long(&self, active: &ActiveRequest) -> bool {
        let objective = self.settings.class(active.class()).latency_objective;
        let current_ratio = self.latency.current_ratio(active.class()).value();
        let margin = (QUEUE_MARGIN_FACTOR * current_ratio).min(MAX_QUEUE_MARGIN_FRACTION);
        self.is_too_late(active) || self.now + objective * margin >= active.objective_deadline
    }
}

/// Returns the delay after which a rejected client should retry, or `None` if the settings do not allow such
/// advice.
pub fn retry_after(settings: &Settings, class: ClassId) -> Option<Span> {
    let delay = settings.class(class).latency_objective * RETRY_AFTER_FRACTION;
    settings.sends_retry_after.then_some(delay.min(settings.max_retry_after))
}

#[cfg(test)]
mod tests;
