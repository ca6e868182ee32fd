//! Tests of the retry budget.

use super::*;

/// Spends the whole balance on retries, and returns the number of retries.
fn spend_all(budget: &mut RetryBudget) -> usize {
    let mut retry_count = 0;
    while budget.allows_retry() {
        budget.spend();
        retry_count += 1;
    }
    retry_count
}

#[test]
fn a_full_budget_allows_ten_retries() {
    assert_eq!(spend_all(&mut RetryBudget::new()), 10);
}

#[test]
fn more_than_ten_requests_refill_the_budget_for_a_retry() {
    let mut budget = RetryBudget::new();
    spend_all(&mut budget);

    for _ in 0..9 {
        budget.refill();
    }
    assert!(!budget.allows_retry());

    budget.refill();
    budget.refill();
    assert!(budget.allows_retry());
}

#[test]
fn a_sparse_view_limits_the_balance_to_a_single_retry() {
    let mut budget = RetryBudget::new();

    budget.set_view(FleetView::Sparse);
    budget.refill();

    assert_eq!(spend_all(&mut budget), 1);
}
