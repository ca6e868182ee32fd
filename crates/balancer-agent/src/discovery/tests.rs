//! Tests of the watch with a discovery service that is silent, slow, or slow at times. The clock is paused.

mod address_changes;
mod churn;
mod list_sizes;
mod test_discovery;
mod test_handler;

use super::call::MAX_CALL_WAIT;
use super::Discovery;
use std::time::Duration;
use test_discovery::{known_version, Reply, Responses, TestDiscovery};
use test_handler::{moved_discovery, TestHandler};
use tokio::task::LocalSet;
use tokio::time::sleep;

/// The maximum delay before the balancer reopens a broken watch.
const MAX_REOPEN_DELAY: Duration = Duration::from_millis(350);
/// The maximum time between the end of a call's wait at discovery and the notification of the agent, as the
/// protocol assumes it. If the call gets no response, the next call must start within this time, because
/// requests to a removed server must end one drain grace later.
const ASSUMED_NOTIFICATION_DELAY: Duration = Duration::from_secs(2);
/// The maximum time between a change at discovery and the notification of the agent, as the protocol assumes
/// it, whatever happens to calls.
const MAX_NOTIFICATION_DELAY: Duration = Duration::from_secs(6);
/// A response time of discovery that is longer than a call may take before its response is overdue.
const SLOW_RESPONSE: Duration = Duration::from_millis(1_800);
/// The version of the cached list.
const CACHED_VERSION: u64 = 1;

/// Guards against a drain that is noticed too late because a silent call delays the next one.
#[tokio::test(start_paused = true)]
async fn a_watch_without_a_response_fails_in_time_for_the_next_call() {
    let test = async {
        let (_discovery, address) = TestDiscovery::start(Responses::Never).await;
        let handler = TestHandler::start_watch(Discovery::new(address, CACHED_VERSION));

        sleep(MAX_CALL_WAIT + ASSUMED_NOTIFICATION_DELAY).await;

        let failed_after = *handler.failures().first().expect("the watch should have failed");
        assert!(failed_after >= MAX_CALL_WAIT, "the call failed during its wait: {failed_after:?}");
        assert!(
            failed_after + MAX_REOPEN_DELAY <= MAX_CALL_WAIT + ASSUMED_NOTIFICATION_DELAY,
            "{failed_after:?}"
        );
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a list that is never heard because discovery always needs longer than the timeout: each
/// call was given up before its response arrived, and the next call was given up in the same way.
#[tokio::test(start_paused = true)]
async fn a_list_is_received_although_each_response_is_overdue() {
    let test = async {
        let (discovery, address) = TestDiscovery::start(Responses::After(SLOW_RESPONSE)).await;
        let handler = TestHandler::start_watch(moved_discovery(address));

        for version in 2..12 {
            // The changes fall into different phases of the calls.
            sleep(Duration::from_millis(300)).await;
            discovery.version.send_replace(version);
            sleep(MAX_NOTIFICATION_DELAY).await;

            assert!(handler.received_after(version).is_some(), "list {version} was not received in time");
        }
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against an old list that overwrites a newer one. The response to the second call is sent after the
/// response to the first one, with an older list.
#[tokio::test(start_paused = true)]
async fn a_list_that_was_overtaken_by_a_newer_one_is_ignored() {
    let replies = vec![Reply::List(7, Duration::from_secs(3)), Reply::List(6, Duration::from_secs(2))];
    let test = async {
        let (discovery, address) = TestDiscovery::start(Responses::InTurn(replies)).await;
        let handler = TestHandler::start_watch(moved_discovery(address));

        sleep(Duration::from_secs(10)).await;

        let received: Vec<u64> = handler.received_lists().iter().map(|(version, _)| *version).collect();
        assert_eq!(received, [7]);
        let calls = discovery.calls.borrow();
        assert_eq!(calls[..2], ["/v1/endpoints", "/v1/endpoints"]);
        assert!(calls[2..].iter().all(|call| known_version(call) == Some(7)), "{calls:?}");
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against calls that stay open although their responses can contain nothing new.
#[tokio::test(start_paused = true)]
async fn a_response_to_a_later_call_closes_the_earlier_one() {
    let replies = vec![Reply::List(6, Duration::from_secs(4)), Reply::List(7, Duration::from_secs(1))];
    let test = async {
        let (discovery, address) = TestDiscovery::start(Responses::InTurn(replies)).await;
        let handler = TestHandler::start_watch(moved_discovery(address));

        sleep(Duration::from_millis(3_500)).await;

        assert_eq!(handler.received_lists().len(), 1);
        assert_eq!(handler.received_lists()[0].0, 7);
        assert_eq!(discovery.open_connections.get(), 1);
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a second reopening for one failure, and for the failure of a call that has been replaced.
#[tokio::test(start_paused = true)]
async fn a_connection_that_breaks_after_its_response_was_overdue_is_no_further_failure() {
    let overdue = Duration::from_millis(1_500);
    // Before and after the watch is reopened.
    for close_after in [overdue + MAX_REOPEN_DELAY / 2, overdue + MAX_REOPEN_DELAY * 2] {
        let test = async {
            let replies = vec![Reply::Close(close_after)];
            let (_discovery, address) = TestDiscovery::start(Responses::InTurn(replies)).await;
            let handler = TestHandler::start_watch(moved_discovery(address));

            sleep(Duration::from_secs(4)).await;

            assert_eq!(handler.failures(), [overdue, overdue + MAX_REOPEN_DELAY + overdue]);
        };
        LocalSet::new().run_until(test).await;
    }
}

/// Guards against a crowded discovery service that is never heard because the oldest call is given up first.
#[tokio::test(start_paused = true)]
async fn a_list_is_received_even_if_it_takes_longer_than_all_calls_that_can_be_open() {
    const VERY_SLOW_RESPONSE: Duration = Duration::from_secs(20);
    let test = async {
        let (_discovery, address) = TestDiscovery::start(Responses::After(VERY_SLOW_RESPONSE)).await;
        let handler = TestHandler::start_watch(moved_discovery(address));

        sleep(Duration::from_secs(30)).await;

        assert_eq!(handler.received_after(1), Some(VERY_SLOW_RESPONSE));
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against series of calls beside each other, each of which goes on after a late response.
#[tokio::test(start_paused = true)]
async fn a_slow_discovery_service_gets_no_more_calls_than_a_silent_one() {
    let duration = Duration::from_secs(120);
    // Longer than it takes until the watch is reopened, so that two calls are open at a time.
    let response_time = Duration::from_millis(2_500);
    let test = async {
        let (slow, slow_address) = TestDiscovery::start(Responses::After(response_time)).await;
        let (silent, silent_address) = TestDiscovery::start(Responses::Never).await;
        let _slow_handler = TestHandler::start_watch(Discovery::new(slow_address, CACHED_VERSION));
        let _silent_handler = TestHandler::start_watch(Discovery::new(silent_address, CACHED_VERSION));

        sleep(duration).await;

        let (slow_calls, silent_calls) = (slow.calls.borrow().len(), silent.calls.borrow().len());
        assert!(slow_calls <= silent_calls, "{slow_calls} calls, and {silent_calls} of a silent service");
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against descriptors that fill up while discovery is silent.
#[tokio::test(start_paused = true)]
async fn a_silent_discovery_service_holds_few_connections() {
    const MAX_CONNECTIONS: usize = 4;
    let test = async {
        let (discovery, address) = TestDiscovery::start(Responses::Never).await;
        let _handler = TestHandler::start_watch(moved_discovery(address));

        sleep(Duration::from_secs(60)).await;

        assert!(discovery.calls.borrow().len() > 20, "the watch was not reopened");
        assert!(discovery.open_connections.get() <= MAX_CONNECTIONS);
        // A connection may be accepted before the end of the one that it replaces has been read.
        assert!(discovery.max_open_connections.get() <= MAX_CONNECTIONS + 1);
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against an endpoint list that is never updated again after the watch's task has panicked.
#[tokio::test(start_paused = true)]
async fn a_watch_whose_task_has_ended_is_started_anew() {
    let test = async {
        let (discovery, address) = TestDiscovery::start(Responses::Never).await;
        let handler = TestHandler::start_watch(moved_discovery(address));
        sleep(Duration::from_secs(1)).await;
        handler.discovery.borrow().watch.as_ref().expect("a watch").task.abort();
        sleep(Duration::from_secs(1)).await;
        assert_eq!(discovery.open_connections.get(), 0, "the watch has ended");

        handler.set_address(address);
        sleep(Duration::from_secs(1)).await;

        assert_eq!(discovery.open_connections.get(), 1);
    };
    LocalSet::new().run_until(test).await;
}
