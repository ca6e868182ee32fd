//! Tests of how the balance of a token bucket is refilled and spent.

use super::*;

#[test]
fn refilling_adds_and_spending_subtracts() {
    let mut bucket = TokenBucket::new(1.0);

    bucket.refill(0.5, 10.0);
    assert_eq!(bucket.balance(), 1.5);

    bucket.spend(1.0);
    assert_eq!(bucket.balance(), 0.5);
}

#[test]
fn refilling_over_the_maximum_adds_no_more_tokens() {
    let mut bucket = TokenBucket::new(9.75);

    bucket.refill(0.5, 10.0);

    assert_eq!(bucket.balance(), 10.0);
}

#[test]
fn lower_maximum_reduces_the_balance() {
    let mut bucket = TokenBucket::new(10.0);

    bucket.refill(0.5, 1.0);

    assert_eq!(bucket.balance(), 1.0);
}
