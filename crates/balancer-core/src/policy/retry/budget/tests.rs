//! Tests of the retry budget.

use super::*;

/// Pays for retries until the budget is exhausted, and returns how many it paid for.
fn spend_all(budget: &mut RetryBudget) -> usize {
    let mut paid = 0;
    while budget.can_pay() {
        budget.pay();
        paid += 1;
    }
    paid
}

#[test]
fn a_full_budget_pays_for_ten_retries() {
    assert_eq!(spend_all(&mut RetryBudget::new()), 10);
}

#[test]
fn more_than_ten_requests_earn_a_retry() {
    let mut budget = RetryBudget::new();
    spend_all(&mut budget);

    for _ in 0..9 {
        budget.earn();
    }
    assert!(!budget.can_pay());

    budget.earn();
    budget.earn();
    assert!(budget.can_pay());
}

#[test]
fn a_sparse_view_saves_up_a_single_retry() {
    let mut budget = RetryBudget::new();

    budget.set_view(FleetView::Sparse);
    budget.earn();

    assert_eq!(spend_all(&mut budget), 1);
}
