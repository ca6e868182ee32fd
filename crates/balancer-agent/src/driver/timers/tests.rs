//! Tests of the order of timers and of the events that end a wait.

use super::*;
use std::time::Duration;

/// How long a wait lasts if no timer ends it.
const MAX_WAIT: Duration = Duration::from_secs(10);
/// The time until a timer that is due before the end of a wait.
const SOON: Duration = Duration::from_secs(1);

#[test]
fn due_timers_are_removed_soonest_first() {
    let timers = Timers::default();
    timers.set(Time::from_millis(20), TimerId::Tick);
    timers.set(Time::from_millis(10), TimerId::LoadPollTimeout);
    timers.set(Time::from_millis(30), TimerId::Tick);

    assert_eq!(timers.pop_due(Time::from_millis(9)), None);
    assert_eq!(timers.pop_due(Time::from_millis(20)), Some(TimerId::LoadPollTimeout));
    assert_eq!(timers.pop_due(Time::from_millis(20)), Some(TimerId::Tick));
    assert_eq!(timers.pop_due(Time::from_millis(20)), None);
}

#[tokio::test(start_paused = true)]
async fn without_a_timer_the_wait_ends_at_the_latest_time() {
    let clock = Clock::start();
    let latest = Instant::now() + MAX_WAIT;

    Timers::default().wait(&clock, latest).await;

    assert!(Instant::now() >= latest);
}

#[tokio::test(start_paused = true)]
async fn a_timer_that_becomes_the_soonest_ends_the_wait() {
    let clock = Clock::start();
    let timers = Timers::default();
    let started_at = Instant::now();
    timers.set(clock.time_of(started_at + MAX_WAIT), TimerId::Tick);
    // This wait ends immediately. It consumes the notification that the first timer has caused.
    let _ = tokio::time::timeout(Duration::ZERO, timers.wait(&clock, started_at + MAX_WAIT)).await;

    let set_timer = async { timers.set(clock.time_of(started_at + SOON), TimerId::LoadPollTimeout) };
    tokio::join!(timers.wait(&clock, started_at + MAX_WAIT), set_timer);
    assert!(started_at.elapsed() < SOON, "the wait ends immediately");

    timers.wait(&clock, started_at + MAX_WAIT).await;
    assert!(started_at.elapsed() >= SOON);
    assert!(started_at.elapsed() < MAX_WAIT);
}
