//! The budget for retries of requests that may have run.

use crate::policy::fleet::FleetView;
use crate::policy::token_bucket::TokenBucket;

/// Cost of one retry.
const RETRY_COST: f64 = 1.0;
/// Amount that each request adds to the budget, in retries.
const EARNED_PER_REQUEST: f64 = 0.1;
/// Maximum balance in a dense view, in retries. The balance allows a burst of retries.
const MAX_SAVED_RETRIES: f64 = 10.0;
/// Maximum balance in a sparse view, in retries. With a higher maximum, many balancers would all spend more
/// retries during the same overload.
const MAX_SAVED_RETRIES_SPARSE: f64 = 1.0;

/// A token bucket that requests fill and retries empty.
pub struct RetryBudget {
    bucket: TokenBucket,
    max_balance: f64,
}

impl RetryBudget {
    /// Creates a full budget for a dense view.
    pub fn new() -> Self {
        RetryBudget { bucket: TokenBucket::new(MAX_SAVED_RETRIES), max_balance: MAX_SAVED_RETRIES }
    }

    /// Sets the maximum balance for a view. A higher balance is kept until the next request arrives, and is
    /// then reduced to the maximum.
    pub fn set_view(&mut self, view: FleetView) {
        self.max_balance = match view {
            FleetView::Dense => MAX_SAVED_RETRIES,
            FleetView::Sparse => MAX_SAVED_RETRIES_SPARSE,
        };
    }

    /// Adds the fraction of a retry that one request earns.
    pub fn earn(&mut self) {
        self.bucket.earn(EARNED_PER_REQUEST, self.max_balance);
    }

    /// Whether the balance is enough for a retry.
    pub fn can_pay(&self) -> bool {
        self.bucket.balance() >= RETRY_COST
    }

    /// Deducts the cost of a retry.
    pub fn pay(&mut self) {
        self.bucket.spend(RETRY_COST);
    }
}

#[cfg(test)]
mod tests;
