//! Tests of how a token bucket earns and spends its balance.

use super::*;

#[test]
fn earning_adds_and_spending_subtracts() {
    let mut bucket = TokenBucket::new(1.0);

    bucket.earn(0.5, 10.0);
    assert_eq!(bucket.balance(), 1.5);

    bucket.spend(1.0);
    assert_eq!(bucket.balance(), 0.5);
}

#[test]
fn earnings_over_the_maximum_are_lost() {
    let mut bucket = TokenBucket::new(9.75);

    bucket.earn(0.5, 10.0);

    assert_eq!(bucket.balance(), 10.0);
}

#[test]
fn lower_maximum_reduces_the_balance() {
    let mut bucket = TokenBucket::new(10.0);

    bucket.earn(0.5, 1.0);

    assert_eq!(bucket.balance(), 1.0);
}
