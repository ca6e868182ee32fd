//! Tests of when the servers of a whole zone are suspected.

use super::*;
use crate::{Endpoint, ServerId, Span};

const START: Time = Time::from_millis(1_000);

#[test]
fn a_zone_is_suspected_for_five_seconds_after_two_failed_connects() {
    let server = ServerState::new(Endpoint::serving(ServerId(1)), START);
    let mut tracker = SuspicionTracker::new();
    tracker.record_outcome(START, ZoneId(0), Outcome::ConnectFailed);
    assert!(!tracker.is_suspected(START, &server), "after one failure");

    tracker.record_outcome(START, ZoneId(0), Outcome::ConnectFailed);

    assert!(tracker.is_suspected(START + Span::from_millis(4_999), &server));
    assert!(!tracker.is_suspected(START + Span::from_millis(5_000), &server));
}
