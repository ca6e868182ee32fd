//! Tests of the usual timeout of a class, by which first tries are known.

use super::*;

const TOLERANCE: Span = Span::from_millis(1);
const USUAL: Span = Span::from_millis(800);
const NEW_HABIT: Span = Span::from_millis(500);

#[test]
fn first_timeout_seen_is_the_usual_one() {
    let mut usual_timeout = UsualTimeout::default();

    assert!(usual_timeout.is_first_try(USUAL, TOLERANCE));
    assert!(usual_timeout.is_first_try(USUAL, TOLERANCE));
}

#[test]
fn timeouts_within_the_tolerance_are_usual() {
    for (time_left, is_usual) in [
        (Span::from_micros(801_000), true),
        (Span::from_micros(799_000), true),
        (Span::from_micros(801_001), false),
        (Span::from_micros(798_999), false),
    ] {
        let mut usual_timeout = UsualTimeout::default();
        usual_timeout.is_first_try(USUAL, TOLERANCE);

        assert_eq!(usual_timeout.is_first_try(time_left, TOLERANCE), is_usual, "{time_left:?}");
    }
}

#[test]
fn new_habit_is_believed_after_fifty_votes_at_most() {
    let mut usual_timeout = UsualTimeout::default();
    for _ in 0..200 {
        usual_timeout.is_first_try(USUAL, TOLERANCE);
    }

    for _ in 0..50 {
        assert!(!usual_timeout.is_first_try(NEW_HABIT, TOLERANCE));
    }

    assert!(usual_timeout.is_first_try(NEW_HABIT, TOLERANCE));
    assert!(!usual_timeout.is_first_try(USUAL, TOLERANCE));
}
