//! The budget for retries of attempts that may have run.

use crate::policy::fleet::FleetView;
use crate::policy::token_bucket::TokenBucket;

/// Cost of one retry, in tokens.
const RETRY_COST: f64 = 1.0;
/// Tokens that each client request adds to the budget.
const TOKENS_PER_REQUEST: f64 = 0.1;
/// Maximum balance in a dense view, in tokens. The balance bounds a burst of retries.
const MAX_TOKENS: f64 = 10.0;
/// Maximum balance in a sparse view, in tokens. With a higher maximum, the many balancers together would
/// send too many retries during an overload.
const MAX_TOKENS_SPARSE: f64 = 1.0;

/// A token bucket that client requests refill and that retries spend.
pub struct RetryBudget {
    bucket: TokenBucket,
    max_balance: f64,
}

impl RetryBudget {
    /// Creates a full budget for a dense view.
    pub fn new() -> Self {
        RetryBudget { bucket: TokenBucket::new(MAX_TOKENS), max_balance: MAX_TOKENS }
    }

    /// Sets the maximum balance for a view. A higher balance is kept until the next request arrives, and is
    /// then reduced to the maximum.
    pub fn set_view(&mut self, view: FleetView) {
        self.max_balance = match view {
            FleetView::Dense => MAX_TOKENS,
            FleetView::Sparse => MAX_TOKENS_SPARSE,
        };
    }

    /// Adds the tokens for one client request.
    pub fn refill(&mut self) {
        self.bucket.refill(TOKENS_PER_REQUEST, self.max_balance);
    }

    /// Returns whether the balance allows a retry.
    pub fn allows_retry(&self) -> bool {
        self.bucket.balance() >= RETRY_COST
    }

    /// Spends the cost of a retry.
    pub fn spend(&mut self) {
        self.bucket.spend(RETRY_COST);
    }
}

#[cfg(test)]
mod tests;
