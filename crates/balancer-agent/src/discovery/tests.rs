//! When a watch that has fallen silent is given up.

use super::*;
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use tokio::time::Instant;

/// The longest pause of the balancer before a broken watch is opened again.
const MAX_PAUSE: Duration = Duration::from_millis(350);
/// What a silent watch should have delivered counts as notified this long after its wait, and sends to a
/// server that has left must end a drain's time later. By then the next call must have been made.
const COUNTS_AS_TOLD_AFTER: Duration = Duration::from_secs(2);

#[tokio::test(start_paused = true)]
async fn a_silent_watch_is_given_up_in_time_to_call_again_before_its_news_counts_as_told() {
    let silent = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = silent.local_addr().expect("an address");
    let mut client = DiscoveryClient { address, connection: None };
    let started_at = Instant::now();

    let list = LocalSet::new().run_until(client.changes_after(1)).await;

    let given_up_after = started_at.elapsed();
    assert_eq!(list, None);
    assert!(given_up_after >= WATCH_WAIT, "not while it may still wait: {given_up_after:?}");
    assert!(given_up_after + MAX_PAUSE <= WATCH_WAIT + COUNTS_AS_TOLD_AFTER, "{given_up_after:?}");
}
