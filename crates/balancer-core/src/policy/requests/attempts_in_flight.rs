//! The attempts that have not ended.

use crate::policy::fleet::ServerIndex;
use crate::{AttemptNumber, ClassId, LoadReport, Outcome, RequestId, Span, Time};
use std::collections::BTreeMap;

/// Names an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptKey {
    pub request: RequestId,
    pub attempt: AttemptNumber,
}

/// An attempt that has not ended; it outlives its request if that ends first.
pub struct InFlightAttempt {
    pub server: ServerIndex,
    pub class: ClassId,
    pub sent_at: Time,
    /// It probes whether an ejected server has recovered.
    pub is_probe: bool,
    /// Admission control has already counted it as slow.
    pub is_counted_slow: bool,
}

/// The end of an attempt.
pub struct EndedAttempt {
    pub key: AttemptKey,
    pub outcome: Outcome,
    /// The time since it was sent.
    pub elapsed: Span,
    pub load_report: Option<LoadReport>,
    /// Its request has its final answer.
    pub is_request_finished: bool,
}

/// The attempts that have not ended, by request and number.
#[derive(Default)]
pub struct AttemptsInFlight {
    attempts: BTreeMap<AttemptKey, InFlightAttempt>,
}

impl AttemptsInFlight {
    /// How many there are.
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Adds an attempt.
    pub fn insert(&mut self, key: AttemptKey, attempt: InFlightAttempt) {
        self.attempts.insert(key, attempt);
    }

    /// Removes an attempt that has ended; `None` if there is no such attempt.
    pub fn remove(&mut self, key: AttemptKey) -> Option<InFlightAttempt> {
        self.attempts.remove(&key)
    }

    /// All attempts, in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = (AttemptKey, &InFlightAttempt)> {
        self.attempts.iter().map(|(&key, attempt)| (key, attempt))
    }

    /// All attempts, in the order of their keys.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut InFlightAttempt> {
        self.attempts.values_mut()
    }
}
