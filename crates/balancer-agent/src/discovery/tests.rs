//! Tests of the timeout of calls to discovery.

use super::*;
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use tokio::time::Instant;

/// The longest delay before the balancer reopens a broken watch.
const MAX_REOPEN_DELAY: Duration = Duration::from_millis(350);
/// The protocol assumes that the agent is notified of a change this long after the wait of a call, even if
/// the call gets no response. Requests to a removed server must end one drain grace later, so the next call
/// must have started by then.
const ASSUMED_NOTIFICATION_DELAY: Duration = Duration::from_secs(2);

#[tokio::test(start_paused = true)]
async fn a_call_without_a_response_times_out_in_time_for_the_next_call() {
    let silent_listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = silent_listener.local_addr().expect("an address");
    let mut client = DiscoveryClient { address, connection: None };
    let started_at = Instant::now();

    let list = LocalSet::new().run_until(client.changes_after(1)).await;

    let failed_after = started_at.elapsed();
    assert_eq!(list, None);
    assert!(failed_after >= MAX_CALL_WAIT, "the call failed during its wait: {failed_after:?}");
    assert!(
        failed_after + MAX_REOPEN_DELAY <= MAX_CALL_WAIT + ASSUMED_NOTIFICATION_DELAY,
        "{failed_after:?}"
    );
}
