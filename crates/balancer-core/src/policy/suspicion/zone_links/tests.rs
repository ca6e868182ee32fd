//! Tests of the links to zones.

use super::*;

const ZONE: ZoneId = ZoneId(1);
const OTHER: ZoneId = ZoneId(2);
const NOW: Time = Time::from_millis(1_000);
const CUT_UNTIL: Time = Time::from_millis(2_000);

#[test]
fn failures_in_a_row_are_counted_by_zone() {
    let mut links = ZoneLinks::default();

    assert_eq!(links.count_failure(ZONE), 1);
    assert_eq!(links.count_failure(ZONE), 2);
    assert_eq!(links.count_failure(OTHER), 1);
}

#[test]
fn success_clears_the_failures_and_the_cut() {
    let mut links = ZoneLinks::default();
    links.count_failure(ZONE);
    links.cut(ZONE, CUT_UNTIL);

    links.record_success(ZONE);

    assert!(!links.is_cut(NOW, ZONE));
    assert_eq!(links.count_failure(ZONE), 1);
}

#[test]
fn link_is_cut_until_the_given_time() {
    let mut links = ZoneLinks::default();

    links.cut(ZONE, CUT_UNTIL);

    assert!(links.is_cut(CUT_UNTIL - Span::from_micros(1), ZONE));
    assert!(!links.is_cut(CUT_UNTIL, ZONE));
    assert!(!links.is_cut(NOW, OTHER));
}

#[test]
fn failures_alone_cut_no_link() {
    let mut links = ZoneLinks::default();

    links.count_failure(ZONE);

    assert!(!links.is_cut(NOW, ZONE));
}

#[test]
fn unknown_zones_are_forgotten() {
    let mut links = ZoneLinks::default();
    links.cut(ZONE, CUT_UNTIL);
    links.cut(OTHER, CUT_UNTIL);

    links.retain(&BTreeSet::from([ZONE]));

    assert_eq!(links.len(), 1);
    assert!(links.is_cut(NOW, ZONE));
    assert!(!links.is_cut(NOW, OTHER));
}
