//! When a call that discovery does not answer fails.

use super::*;
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use tokio::time::Instant;

/// The longest time that the balancer waits before it reopens a broken watch.
const MAX_REOPEN_DELAY: Duration = Duration::from_millis(350);
/// Changes count as notified this long after the wait of an unanswered call. Requests to a removed server must
/// end one drain grace later, so the next call must have been made by then.
const COUNTS_AS_NOTIFIED_AFTER: Duration = Duration::from_secs(2);

#[tokio::test(start_paused = true)]
async fn an_unanswered_call_fails_in_time_to_call_again_before_changes_count_as_notified() {
    let silent = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = silent.local_addr().expect("an address");
    let mut client = DiscoveryClient { address, connection: None };
    let started_at = Instant::now();

    let list = LocalSet::new().run_until(client.changes_after(1)).await;

    let failed_after = started_at.elapsed();
    assert_eq!(list, None);
    assert!(failed_after >= MAX_CALL_WAIT, "not while discovery may hold the call: {failed_after:?}");
    assert!(failed_after + MAX_REOPEN_DELAY <= MAX_CALL_WAIT + COUNTS_AS_NOTIFIED_AFTER, "{failed_after:?}");
}
