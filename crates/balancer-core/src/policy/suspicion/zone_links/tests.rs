//! Tests of when the link to a zone is marked down.

use super::*;

const ZONE: ZoneId = ZoneId(1);
const OTHER_ZONE: ZoneId = ZoneId(2);
const NOW: Time = Time::from_millis(1_000);
const DOWN_UNTIL: Time = Time::from_millis(2_000);

#[test]
fn failures_in_a_row_are_counted_by_zone() {
    let mut links = ZoneLinks::default();

    assert_eq!(links.count_failure(ZONE), 1);
    assert_eq!(links.count_failure(ZONE), 2);
    assert_eq!(links.count_failure(OTHER_ZONE), 1);
}

#[test]
fn success_clears_the_failures_and_the_down_mark() {
    let mut links = ZoneLinks::default();
    links.count_failure(ZONE);
    links.mark_down(ZONE, DOWN_UNTIL);

    links.record_success(ZONE);

    assert!(!links.is_down(NOW, ZONE));
    assert_eq!(links.count_failure(ZONE), 1);
}

#[test]
fn link_is_down_until_the_given_time() {
    let mut links = ZoneLinks::default();

    links.mark_down(ZONE, DOWN_UNTIL);

    assert!(links.is_down(DOWN_UNTIL - Span::from_micros(1), ZONE));
    assert!(!links.is_down(DOWN_UNTIL, ZONE));
    assert!(!links.is_down(NOW, OTHER_ZONE));
}

#[test]
fn counting_failures_marks_no_link_down() {
    let mut links = ZoneLinks::default();

    links.count_failure(ZONE);

    assert!(!links.is_down(NOW, ZONE));
}

#[test]
fn unknown_zones_are_dropped() {
    let mut links = ZoneLinks::default();
    links.mark_down(ZONE, DOWN_UNTIL);
    links.mark_down(OTHER_ZONE, DOWN_UNTIL);

    links.retain(&BTreeSet::from([ZONE]));

    assert_eq!(links.len(), 1);
    assert!(links.is_down(NOW, ZONE));
    assert!(!links.is_down(NOW, OTHER_ZONE));
}
