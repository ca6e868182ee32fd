//! Overdue attempts: finding silent servers, and retrying elsewhere what can still be in time.

use super::admission::SLOW_RATIO;
use super::concurrency::{LATE_RATIO, TARGET_RATIO};
use crate::state::{AttemptKey, InFlightAttempt, ServerIndex};
use crate::{Action, Balancer, Effect, EjectionReason};

/// An attempt is overdue at this multiple of the usual latency of its class, and not before this share of its
/// objective; alone on its server, where it may well be a costly request, not before the whole objective.
const OVERDUE_FACTOR: f64 = 4.0;
const MIN_OVERDUE_SHARE: f64 = 0.6;
const MIN_OVERDUE_SHARE_ALONE: f64 = 1.0;

/// An attempt that should have been answered by now.
struct OverdueAttempt {
    key: AttemptKey,
    server: ServerIndex,
    /// Its server has not responded in any way since it was sent.
    is_server_silent: bool,
}

impl Balancer {
    /// Ejects the silent servers, and cancels the overdue attempts whose request can be retried in time.
    pub(crate) fn handle_overdue_attempts(&mut self) {
        let attempts = self.in_flight.iter();
        let overdue = attempts.filter_map(|(&key, attempt)| self.overdue_attempt(key, attempt));
        let overdue: Vec<OverdueAttempt> = overdue.collect();
        if self.is_sparse() {
            self.count_slow_attempts();
        }
        for attempt in overdue.iter().filter(|attempt| attempt.is_server_silent) {
            self.eject(attempt.server, EjectionReason::Silent);
        }
        for key in overdue.into_iter().map(|attempt| attempt.key) {
            if self.can_retry_in_time(key) {
                self.actions.push(Action::Cancel { request: key.request, attempt: key.attempt });
            }
        }
    }

    /// The attempt, if it is overdue and either its server is silent or the server's other answers are quick.
    fn overdue_attempt(&self, key: AttemptKey, attempt: &InFlightAttempt) -> Option<OverdueAttempt> {
        let server = &self.registry[attempt.server];
        let objective = self.settings.classes[attempt.class].latency_objective;
        let min_share = if server.in_flight > 1 { MIN_OVERDUE_SHARE } else { MIN_OVERDUE_SHARE_ALONE };
        let work = self.requests.get(&key.request).map_or(0.0, |active| self.estimated_work(active));
        let typical_ratio = self.latency.classes[attempt.class].typical_ratio;
        let usual_ratio = typical_ratio.max(self.latency.median_ratio).max(work / objective.as_millis_f64());
        let max_time = objective * (OVERDUE_FACTOR * usual_ratio).max(min_share);
        let is_overdue = self.now.since(attempt.sent_at) > max_time;
        let is_server_silent = server.health.last_response < attempt.sent_at;
        let is_server_quick = server.latency.ratio < TARGET_RATIO;
        let found = OverdueAttempt { key, server: attempt.server, is_server_silent };
        (is_overdue && (is_server_silent || is_server_quick)).then_some(found)
    }

    /// A slow answer is known to be slow before it comes; waiting for it lets an overload grow.
    fn count_slow_attempts(&mut self) {
        let (now, classes) = (self.now, &self.settings.classes);
        let mut slow_attempts = 0;
        for attempt in self.in_flight.values_mut().filter(|attempt| !attempt.is_counted_slow) {
            let max_time = classes[attempt.class].latency_objective * SLOW_RATIO;
            attempt.is_counted_slow = now.since(attempt.sent_at) > max_time;
            slow_attempts += u32::from(attempt.is_counted_slow);
        }
        for _ in 0..slow_attempts {
            self.record_admission(LATE_RATIO);
        }
    }

    /// Whether the attempt is its request's last, and a retry is permitted, paid for and can be in time.
    fn can_retry_in_time(&self, key: AttemptKey) -> bool {
        let Some(active) = self.requests.get(&key.request) else { return false };
        let is_repeatable = self.settings.classes[active.class()].effect != Effect::AtMostOnce;
        let is_last = key.attempt.0 as usize + 1 == active.attempts.len();
        let has_attempts_left = active.attempts.len() < self.settings.max_attempts as usize;
        let may_retry = is_repeatable && is_last && has_attempts_left && self.can_pay_retry();
        self.settings.allows_cancel && may_retry && !self.cannot_be_in_time(active)
    }
}
