//! What the unit tests of several modules share.

/// Asserts that two figures are equal but for rounding.
pub fn assert_close(value: f64, expected: f64) {
    assert!((value - expected).abs() < 1e-9, "{value} instead of {expected}");
}
