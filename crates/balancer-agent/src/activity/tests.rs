//! Tests of the counts of events, and of how ids appear in the log.

use super::*;

fn log() -> ActivityLog {
    ActivityLog::new("n0".into(), MemoryBudget::with_capacity(1_000))
}

#[tokio::test(start_paused = true)]
async fn events_are_counted_until_the_end_of_their_interval() {
    let log = log();
    log.record_served();
    for _ in 0..3 * MAX_LINES {
        log.record(&Event::Evicted);
    }
    log.record(&Event::TimedOut { phase: Phase::Receiving });
    let expected = Counts { served: 1, evicted: 3 * MAX_LINES, timed_out: 1, ..Counts::default() };
    assert_eq!(*log.counts.borrow(), expected);

    log.end_interval_if_due();
    assert_eq!(*log.counts.borrow(), expected, "the interval is not over");

    tokio::time::advance(INTERVAL).await;
    log.end_interval_if_due();
    assert_eq!(*log.counts.borrow(), Counts::default());
}

#[test]
fn ids_are_shortened_and_escaped() {
    assert_eq!(LoggedId::new("a\n\u{1b}").to_string(), "a\\n\\u{1b}");
    assert_eq!(LoggedId::new(&"x".repeat(300)).to_string().len(), MAX_ID_BYTES);
}
