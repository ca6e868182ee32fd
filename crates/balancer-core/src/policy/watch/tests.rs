//! Tests of when a broken watch is opened again.

use super::*;

const NOW: Time = Time::from_millis(1_000);
const MAX_POLL_INTERVAL: Span = Span::from_secs(10);

/// The delay after each of `failures` failures in a row, with jitter drawn from `seed`.
fn delays(failures: usize, seed: u64) -> Vec<Span> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut watch = WatchRetry::new();
    let mut delays = Vec::new();
    for _ in 0..failures {
        watch.schedule(NOW, MAX_POLL_INTERVAL, &mut rng);
        delays.push(watch.retry_at.expect("it is scheduled").since(NOW));
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
fn a_list_resets_the_delay() {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut watch = WatchRetry::new();
    for _ in 0..5 {
        watch.schedule(NOW, MAX_POLL_INTERVAL, &mut rng);
    }

    watch.reset_backoff();
    watch.schedule(NOW, MAX_POLL_INTERVAL, &mut rng);

    assert!(watch.take_due(NOW + Span::from_millis(300)));
}

#[test]
fn watch_is_due_once() {
    let mut watch = WatchRetry::new();
    assert!(!watch.take_due(NOW + MAX_POLL_INTERVAL), "nothing has failed");

    watch.schedule(NOW, MAX_POLL_INTERVAL, &mut fastrand::Rng::with_seed(1));

    assert!(!watch.take_due(NOW));
    assert!(watch.take_due(NOW + MAX_POLL_INTERVAL));
    assert!(!watch.take_due(NOW + MAX_POLL_INTERVAL));
}
