//! Tests of how a budget earns and spends its balance.

use super::*;

#[test]
fn earning_adds_and_spending_subtracts() {
    let mut budget = Budget::new(1.0);

    budget.earn(0.5, 10.0);
    assert_eq!(budget.balance(), 1.5);

    budget.spend(1.0);
    assert_eq!(budget.balance(), 0.5);
}

#[test]
fn earnings_over_the_maximum_are_lost() {
    let mut budget = Budget::new(9.75);

    budget.earn(0.5, 10.0);

    assert_eq!(budget.balance(), 10.0);
}

#[test]
fn lower_maximum_reduces_the_balance() {
    let mut budget = Budget::new(10.0);

    budget.earn(0.5, 1.0);

    assert_eq!(budget.balance(), 1.0);
}
