//! The attempts that the balancer has sent and that have not ended.

use super::common::FIRST_ATTEMPT;
use balancer_core::{Action, AttemptNumber, RequestId, Time};
use std::collections::BTreeMap;

/// An attempt in flight.
pub struct InFlightAttempt {
    pub request: RequestId,
    pub attempt: AttemptNumber,
    pub sent_at: Time,
    pub timeout_at: Time,
    /// Whether its response has begun to stream; it does not time out then.
    pub is_streaming: bool,
}

impl InFlightAttempt {
    pub fn has_timed_out(&self, now: Time) -> bool {
        now >= self.timeout_at && !self.is_streaming
    }
}

/// All attempts in flight.
#[derive(Default)]
pub struct InFlightAttempts {
    attempts: Vec<InFlightAttempt>,
    next_attempts: BTreeMap<RequestId, AttemptNumber>,
}

impl InFlightAttempts {
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Removes an attempt at random; there must be one.
    pub fn remove_random(&mut self, rng: &mut fastrand::Rng) -> InFlightAttempt {
        self.attempts.swap_remove(rng.usize(0..self.attempts.len()))
    }

    /// An attempt chosen at random; there must be one.
    pub fn random_mut(&mut self, rng: &mut fastrand::Rng) -> &mut InFlightAttempt {
        let position = rng.usize(0..self.attempts.len());
        &mut self.attempts[position]
    }

    /// Removes an attempt that has timed out, if there is one.
    pub fn remove_timed_out(&mut self, now: Time) -> Option<InFlightAttempt> {
        let position = self.attempts.iter().position(|attempt| attempt.has_timed_out(now))?;
        Some(self.attempts.swap_remove(position))
    }

    /// Sends or cancels the attempt of an action; ignores other actions.
    pub fn carry_out(&mut self, now: Time, action: &Action) {
        match *action {
            Action::Send { request, timeout_at, .. } => self.send(now, request, timeout_at),
            Action::Cancel { request, attempt } => self.cancel(now, request, attempt),
            _ => {}
        }
    }

    fn send(&mut self, now: Time, request: RequestId, timeout_at: Time) {
        let next_attempt = self.next_attempts.entry(request).or_insert(FIRST_ATTEMPT);
        let attempt = *next_attempt;
        next_attempt.0 += 1;
        self.attempts.push(InFlightAttempt {
            request,
            attempt,
            sent_at: now,
            timeout_at,
            is_streaming: false,
        });
    }

    /// Lets an attempt time out now. A cancelled attempt would end as soon, only with another outcome.
    fn cancel(&mut self, now: Time, request: RequestId, attempt: AttemptNumber) {
        let is_cancelled = |candidate: &&mut InFlightAttempt| {
            candidate.request == request && candidate.attempt == attempt && !candidate.is_streaming
        };
        if let Some(cancelled) = self.attempts.iter_mut().find(is_cancelled) {
            cancelled.timeout_at = now;
        }
    }
}
