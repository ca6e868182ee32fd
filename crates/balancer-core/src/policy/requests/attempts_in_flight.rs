//! Attempts that have not ended, and the results of those that have.

use crate::policy::fleet::ServerIndex;
use crate::{AttemptNumber, ClassId, LoadReport, Outcome, RequestId, Span, Time};
use std::collections::BTreeMap;

/// The identity of an attempt: its request and its number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptKey {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// The number of the attempt among those of the request.
    pub attempt: AttemptNumber,
}

/// An attempt that has not ended. The attempt is kept even if its request gets its final response first.
pub struct InFlightAttempt {
    /// The server that the attempt was sent to.
    pub server: ServerIndex,
    /// The class of the request.
    pub class: ClassId,
    /// When the attempt was sent.
    pub sent_at: Time,
    /// Whether the attempt is a probe of an ejected server.
    pub is_probe: bool,
    /// Whether admission control has already counted the attempt as slow.
    pub is_counted_slow: bool,
}

/// The result of an attempt that has ended.
pub struct EndedAttempt {
    /// The key of the attempt.
    pub key: AttemptKey,
    /// The outcome of the attempt.
    pub outcome: Outcome,
    /// The time from the sending of the attempt to its end.
    pub elapsed: Span,
    /// The load report of the server, if it sent one.
    pub load_report: Option<LoadReport>,
    /// Whether the request has already had its final response.
    pub is_request_finished: bool,
}

/// The attempts that have not ended, ordered by request and attempt number.
#[derive(Default)]
pub struct AttemptsInFlight {
    attempts: BTreeMap<AttemptKey, InFlightAttempt>,
}

impl AttemptsInFlight {
    /// Returns the number of attempts in flight.
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Adds an attempt.
    pub fn insert(&mut self, key: AttemptKey, attempt: InFlightAttempt) {
        self.attempts.insert(key, attempt);
    }

    /// Removes and returns an attempt that has ended, or returns `None` if there is no attempt with this key.
    pub fn remove(&mut self, key: AttemptKey) -> Option<InFlightAttempt> {
        self.attempts.remove(&key)
    }

    /// Returns all attempts with their keys, in the order of the keys.
    pub fn iter(&self) -> impl Iterator<Item = (AttemptKey, &InFlightAttempt)> {
        self.attempts.iter().map(|(&key, attempt)| (key, attempt))
    }

    /// Returns all attempts for modification, in the order of their keys.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut InFlightAttempt> {
        self.attempts.values_mut()
    }
}
