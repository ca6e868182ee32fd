//! Attempts that have not ended, and the results of those that have.

use crate::policy::fleet::ServerIndex;
use crate::{AttemptId, ClassId, LoadReport, Outcome, Span, Time};
use std::collections::BTreeMap;

/// An attempt that has not ended. The attempt is kept even if its request gets its final response first.
pub struct InFlightAttempt {
    /// The server that the attempt was sent to.
    pub server: ServerIndex,
    /// The class of the request.
    pub class: ClassId,
    /// When the attempt was sent.
    pub sent_at: Time,
    /// When the last part of the response arrived; `None` if the host has reported none.
    pub response_progress_at: Option<Time>,
    /// Whether the attempt is a probe of an ejected server.
    pub is_probe: bool,
    /// Whether admission control has already counted the attempt as slow.
    pub is_counted_slow: bool,
}

/// The result of an attempt that has ended.
pub struct EndedAttempt {
    /// The id of the attempt.
    pub id: AttemptId,
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
    attempts: BTreeMap<AttemptId, InFlightAttempt>,
}

impl AttemptsInFlight {
    /// Returns the number of attempts in flight.
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Adds an attempt.
    pub fn insert(&mut self, id: AttemptId, attempt: InFlightAttempt) {
        self.attempts.insert(id, attempt);
    }

    /// Removes and returns an attempt that has ended, or returns `None` if there is no attempt with this id.
    pub fn remove(&mut self, id: AttemptId) -> Option<InFlightAttempt> {
        self.attempts.remove(&id)
    }

    /// Returns an attempt for modification, or `None` if there is no attempt with this id.
    pub fn get_mut(&mut self, id: AttemptId) -> Option<&mut InFlightAttempt> {
        self.attempts.get_mut(&id)
    }

    /// Returns all attempts with their keys, in the order of the keys.
    pub fn iter(&self) -> impl Iterator<Item = (AttemptId, &InFlightAttempt)> {
        self.attempts.iter().map(|(&id, attempt)| (id, attempt))
    }

    /// Returns all attempts for modification, in the order of their keys.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut InFlightAttempt> {
        self.attempts.values_mut()
    }
}
