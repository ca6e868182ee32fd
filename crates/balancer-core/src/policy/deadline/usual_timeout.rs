//! The timeouts that clients send their requests with.

use crate::Span;

/// Votes that a usual timeout can gather; when clients change their timeouts, the new one is accepted after
/// as many.
const MAX_VOTES: u32 = 50;

/// The timeout that most requests of a class come with, which is that of a first try, and the votes for it.
#[derive(Clone, Copy, Default)]
pub struct UsualTimeout {
    timeout: Span,
    votes: u32,
}

impl UsualTimeout {
    /// Whether a request is a first try, by majority vote over the requests so far. First tries of a class
    /// have equal timeouts, within `tolerance`; another timeout is what earlier tries have left of the
    /// class's deadline.
    pub fn is_first_try(&mut self, time_left: Span, tolerance: Span) -> bool {
        if self.votes == 0 {
            *self = UsualTimeout { timeout: time_left, votes: 1 };
            return true;
        }
        let is_usual = time_left.saturating_sub(self.timeout) <= tolerance
            && self.timeout.saturating_sub(time_left) <= tolerance;
        self.votes = if is_usual { (self.votes + 1).min(MAX_VOTES) } else { self.votes - 1 };
        is_usual
    }
}

#[cfg(test)]
mod tests;
