//! The budget that retries of requests that may have run are paid from.

use crate::policy::budget::Budget;
use crate::policy::fleet::FleetView;

/// What a retry costs.
const RETRY_PRICE: f64 = 1.0;
/// What each request earns.
const EARNED_PER_REQUEST: f64 = 0.1;
/// Retries that can be saved up for a burst.
const MAX_RETRIES: f64 = 10.0;
/// Retries that can be saved up in a sparse view: many balancers would all spend more in the same overload.
const MAX_RETRIES_SPARSE: f64 = 1.0;

/// The retry budget.
pub struct RetryBudget {
    budget: Budget,
    max_balance: f64,
}

impl RetryBudget {
    /// A full budget.
    pub fn new() -> Self {
        RetryBudget { budget: Budget::new(MAX_RETRIES), max_balance: MAX_RETRIES }
    }

    /// Follows a change of the view. A balance over the new maximum is cut by the next request.
    pub fn set_view(&mut self, view: FleetView) {
        self.max_balance = match view {
            FleetView::Dense => MAX_RETRIES,
            FleetView::Sparse => MAX_RETRIES_SPARSE,
        };
    }

    /// Earns the part of a retry that one request is worth.
    pub fn earn(&mut self) {
        self.budget.earn(EARNED_PER_REQUEST, self.max_balance);
    }

    /// Whether the budget pays for a retry.
    pub fn can_pay(&self) -> bool {
        self.budget.balance() >= RETRY_PRICE
    }

    /// Pays for a retry.
    pub fn pay(&mut self) {
        self.budget.spend(RETRY_PRICE);
    }
}

#[cfg(test)]
mod tests;
