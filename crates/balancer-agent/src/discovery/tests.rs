//! Tests of the timeout of calls to discovery.

use super::*;
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use tokio::time::Instant;

/// The maximum delay before the balancer reopens a broken watch.
const MAX_REOPEN_DELAY: Duration = Duration::from_millis(350);
/// The maximum time between the end of a call's wait at discovery and the notification of the agent, as the
/// protocol assumes it. If the call gets no response, the next call must start within this time, because
/// requests to a removed server must end one drain grace later.
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
