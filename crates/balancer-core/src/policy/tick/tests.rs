//! Tests of when ticks are due.

use super::*;

const NOW: Time = Time::from_millis(1_000);

#[test]
fn ticks_come_every_fifty_milliseconds_and_every_ten_with_queued_requests() {
    let mut ticks = TickSchedule::new();

    assert_eq!(ticks.schedule_next(NOW, false), NOW + Span::from_millis(50));
    assert_eq!(ticks.schedule_next(NOW, true), NOW + Span::from_millis(10));
}

#[test]
fn tick_is_due_at_its_time_and_not_before() {
    let mut ticks = TickSchedule::new();
    let at = ticks.schedule_next(NOW, false);

    assert!(!ticks.is_due(at - Span::from_micros(1)));
    assert!(ticks.is_due(at));
}

#[test]
fn tick_is_brought_forward_but_never_postponed() {
    let mut ticks = TickSchedule::new();
    ticks.schedule_next(NOW, false);

    assert_eq!(ticks.schedule_soon(NOW), Some(NOW + Span::from_millis(10)));
    assert_eq!(ticks.schedule_soon(NOW + Span::from_millis(5)), None);
    assert!(ticks.is_due(NOW + Span::from_millis(10)));
}
