//! Tests of when a failed watch is reopened.

use super::*;

const NOW: Time = Time::from_millis(1_000);
const MAX_POLL_INTERVAL: Span = Span::from_secs(10);

/// Returns the delay after each of `failures` consecutive failures, with jitter from a generator with this
/// seed.
fn delays(failures: usize, seed: u64) -> Vec<Span> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut watch_retry = WatchRetry::new();
    let mut delays = Vec::new();
    for _ in 0..failures {
        watch_retry.schedule(NOW, MAX_POLL_INTERVAL, &mut rng);
        delays.push(watch_retry.retry_at.expect("a retry is scheduled").since(NOW));
    }
    delays
}

#[test]
fn delay_doubles_up_to_a_quarter_of_the_poll_interval() {
    let expected = [200, 400, 800, 1_600, 2_500, 2_500].map(Span::from_millis);
    for seed in 0..50 {
        for (delay, expected) in delays(6, seed).into_iter().zip(expected) {
            assert!((expected * 0.5..expected * 1.5).contains(&delay), "{delay:?} for {expected:?}");
        }
    }
}

#[test]
fn reset_backoff_restores_the_shortest_delay() {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut watch_retry = WatchRetry::new();
    for _ in 0..5 {
        watch_retry.schedule(NOW, MAX_POLL_INTERVAL, &mut rng);
    }

    watch_retry.reset_backoff();
    watch_retry.schedule(NOW, MAX_POLL_INTERVAL, &mut rng);

    assert!(watch_retry.take_due(NOW + Span::from_millis(300)));
}

#[test]
fn watch_retry_is_due_once() {
    let mut watch_retry = WatchRetry::new();
    assert!(!watch_retry.take_due(NOW + MAX_POLL_INTERVAL), "the watch has not failed");

    watch_retry.schedule(NOW, MAX_POLL_INTERVAL, &mut fastrand::Rng::with_seed(1));

    assert!(!watch_retry.take_due(NOW));
    assert!(watch_retry.take_due(NOW + MAX_POLL_INTERVAL));
    assert!(!watch_retry.take_due(NOW + MAX_POLL_INTERVAL));
}
