//! Detection of clients' retries by the timeouts that the clients set.

use crate::Span;

/// Maximum number of votes for a typical timeout. When clients change their timeout, the new one is accepted
/// after at most this many requests.
const MAX_VOTES: u32 = 50;

/// The timeout of most requests of a class, found by a majority vote over the requests so far.
///
/// All first attempts of the clients have the same timeout. Any other timeout belongs to a client's retry:
/// it is what the earlier attempts have left of the first timeout.
#[derive(Clone, Copy, Default)]
pub struct TypicalTimeout {
    /// The timeout that currently leads the vote.
    timeout: Span,
    /// How many more requests voted for the timeout than against it, up to [`MAX_VOTES`].
    votes: u32,
}

impl TypicalTimeout {
    /// Counts the vote of a new request, and returns whether the request is a client's retry.
    ///
    /// The request is a retry if its timeout is shorter than the typical one by more than `tolerance`. A
    /// longer timeout cannot be what an earlier attempt has left, so short timeouts of one client, however
    /// many, do not make retries of the other clients' requests.
    pub fn detect_retry(&mut self, time_left: Span, tolerance: Span) -> bool {
        if self.votes == 0 {
            *self = TypicalTimeout { timeout: time_left, votes: 1 };
            return false;
        }
        let is_shorter = self.timeout.saturating_sub(time_left) > tolerance;
        let is_longer = time_left.saturating_sub(self.timeout) > tolerance;
        let is_typical = !is_shorter && !is_longer;
        self.votes = if is_typical { (self.votes + 1).min(MAX_VOTES) } else { self.votes - 1 };
        is_shorter
    }
}

#[cfg(test)]
mod tests;
