//! Tests of how first attempts are detected by the typical timeout of their class.

use super::*;

const TOLERANCE: Span = Span::from_millis(1);
const TYPICAL: Span = Span::from_millis(800);
const NEW_TIMEOUT: Span = Span::from_millis(500);

#[test]
fn first_timeout_is_taken_as_typical() {
    let mut typical_timeout = TypicalTimeout::default();

    assert!(typical_timeout.detect_first_attempt(TYPICAL, TOLERANCE));
    assert!(typical_timeout.detect_first_attempt(TYPICAL, TOLERANCE));
}

#[test]
fn timeouts_within_the_tolerance_are_typical() {
    for (time_left, is_typical) in [
        (Span::from_micros(801_000), true),
        (Span::from_micros(799_000), true),
        (Span::from_micros(801_001), false),
        (Span::from_micros(798_999), false),
    ] {
        let mut typical_timeout = TypicalTimeout::default();
        typical_timeout.detect_first_attempt(TYPICAL, TOLERANCE);

        assert_eq!(typical_timeout.detect_first_attempt(time_left, TOLERANCE), is_typical, "{time_left:?}");
    }
}

#[test]
fn new_timeout_is_accepted_after_at_most_fifty_requests() {
    let mut typical_timeout = TypicalTimeout::default();
    for _ in 0..200 {
        typical_timeout.detect_first_attempt(TYPICAL, TOLERANCE);
    }

    for _ in 0..50 {
        assert!(!typical_timeout.detect_first_attempt(NEW_TIMEOUT, TOLERANCE));
    }

    assert!(typical_timeout.detect_first_attempt(NEW_TIMEOUT, TOLERANCE));
    assert!(!typical_timeout.detect_first_attempt(TYPICAL, TOLERANCE));
}
