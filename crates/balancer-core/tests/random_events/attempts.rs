//! The attempts in flight: those that the balancer has sent and that have not ended.

use super::common::FIRST_ATTEMPT;
use balancer_core::{Action, AttemptNumber, RequestId, Time};
use std::collections::BTreeMap;

/// An attempt in flight.
pub struct InFlightAttempt {
    /// The request.
    pub request: RequestId,
    /// The number of the attempt.
    pub attempt: AttemptNumber,
    /// When the attempt was sent.
    pub sent_at: Time,
    /// The moment at which the attempt times out.
    pub timeout_at: Time,
    /// Whether the response has begun to stream. Such an attempt does not time out.
    pub is_streaming: bool,
}

impl InFlightAttempt {
    /// Returns whether the attempt has timed out at `now`.
    pub fn has_timed_out(&self, now: Time) -> bool {
        now >= self.timeout_at && !self.is_streaming
    }
}

/// All attempts in flight.
#[derive(Default)]
pub struct InFlightAttempts {
    attempts: Vec<InFlightAttempt>,
    /// The number of the next attempt of each request that has been sent.
    next_attempts: BTreeMap<RequestId, AttemptNumber>,
}

impl InFlightAttempts {
    /// Returns whether no attempt is in flight.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Removes a random attempt and returns it.
    ///
    /// # Panics
    ///
    /// Panics if no attempt is in flight.
    pub fn remove_random(&mut self, rng: &mut fastrand::Rng) -> InFlightAttempt {
        self.attempts.swap_remove(rng.usize(0..self.attempts.len()))
    }

    /// Returns a random attempt.
    ///
    /// # Panics
    ///
    /// Panics if no attempt is in flight.
    pub fn random_mut(&mut self, rng: &mut fastrand::Rng) -> &mut InFlightAttempt {
        let position = rng.usize(0..self.attempts.len());
        &mut self.attempts[position]
    }

    /// Removes an attempt that has timed out and returns it, or returns `None` if no attempt has timed out.
    pub fn remove_timed_out(&mut self, now: Time) -> Option<InFlightAttempt> {
        let position = self.attempts.iter().position(|attempt| attempt.has_timed_out(now))?;
        Some(self.attempts.swap_remove(position))
    }

    /// Carries out an action that sends or cancels an attempt. Ignores other actions.
    pub fn carry_out(&mut self, now: Time, action: &Action) {
        match *action {
            Action::Send { request, timeout_at, .. } => self.send(now, request, timeout_at),
            Action::Cancel { request, attempt } => self.cancel(now, request, attempt),
            _ => {}
        }
    }

    /// Adds the next attempt of a request.
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

    /// Cancels an attempt by moving its timeout to `now`, unless its response has begun to stream.
    ///
    /// The attempt ends in the next step with `Outcome::TimedOut` instead of `Outcome::Cancelled`, unless its
    /// response begins to stream in that step.
    fn cancel(&mut self, now: Time, request: RequestId, attempt: AttemptNumber) {
        let is_cancelled = |candidate: &&mut InFlightAttempt| {
            candidate.request == request && candidate.attempt == attempt && !candidate.is_streaming
        };
        if let Some(cancelled) = self.attempts.iter_mut().find(is_cancelled) {
            cancelled.timeout_at = now;
        }
    }
}
