//! Assertions that the unit tests of several modules use.

/// Asserts that two numbers are equal except for rounding errors.
pub fn assert_close(value: f64, expected: f64) {
    assert!((value - expected).abs() < 1e-9, "{value} instead of {expected}");
}
