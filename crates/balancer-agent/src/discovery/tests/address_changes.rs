//! Tests of the watch while the address of discovery changes. The clock is paused.

use super::test_discovery::{known_version, Reply, Responses, TestDiscovery};
use super::test_handler::{moved_discovery, TestHandler};
use super::{MAX_NOTIFICATION_DELAY, SLOW_RESPONSE};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::sleep;

/// Guards against a response that is never awaited because configurations with the same address follow each
/// other faster than discovery responds.
#[tokio::test(start_paused = true)]
async fn an_unchanged_address_keeps_the_open_call() {
    let test = async {
        let (discovery, address) = TestDiscovery::start(Responses::After(SLOW_RESPONSE)).await;
        let handler = TestHandler::start_watch(moved_discovery(address));

        for _ in 0..4 {
            sleep(Duration::from_secs(1)).await;
            handler.set_address(address);
        }

        assert_eq!(handler.received_after(1), Some(SLOW_RESPONSE));
        let calls = discovery.calls.borrow();
        assert_eq!(calls.iter().filter(|call| known_version(call).is_none()).count(), 1, "{calls:?}");
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a drain that is never heard because each change of the address gave up the call that was
/// about to be answered (`review/9`).
#[tokio::test(start_paused = true)]
async fn a_list_is_received_although_the_address_changes_more_often_than_discovery_responds() {
    // Response time, time between two changes, and their number.
    for (response_ms, interval_ms, change_count) in [(1_800, 1_500, 6), (1_200, 1_000, 8), (900, 700, 11)] {
        let response_time = Duration::from_millis(response_ms);
        let test = async {
            let (_discovery, first_address) = TestDiscovery::start(Responses::After(response_time)).await;
            let handler = TestHandler::start_watch(moved_discovery(first_address));

            for _ in 1..change_count {
                sleep(Duration::from_millis(interval_ms)).await;
                let (_discovery, address) = TestDiscovery::start(Responses::After(response_time)).await;
                handler.set_address(address);
            }
            sleep(response_time + Duration::from_millis(1)).await;

            assert_eq!(handler.received_after(1), Some(response_time));
            assert_eq!(handler.received_lists().len(), change_count, "each call is answered");
        };
        LocalSet::new().run_until(test).await;
    }
}

/// Guards against calls to a former address that go on after the present one has responded, and against a
/// watch of a former address.
#[tokio::test(start_paused = true)]
async fn the_list_of_the_new_address_ends_the_calls_to_former_ones() {
    let response_time = Duration::from_secs(2);
    let test = async {
        let (silent, silent_address) = TestDiscovery::start(Responses::Never).await;
        let (former, former_address) =
            TestDiscovery::start(Responses::InTurn(vec![Reply::List(4, Duration::from_secs(1))])).await;
        let (_present, present_address) =
            TestDiscovery::start(Responses::InTurn(vec![Reply::List(5, response_time)])).await;
        let handler = TestHandler::start_watch(moved_discovery(silent_address));
        handler.set_address(former_address);
        handler.set_address(present_address);

        sleep(Duration::from_millis(1_900)).await;
        assert_eq!(handler.received_lists(), [(4, Duration::from_secs(1))]);
        assert_eq!(silent.open_connections.get(), 0, "a later address has responded");
        assert_eq!(former.open_connections.get(), 0, "the former address has responded");

        sleep(Duration::from_millis(200)).await;
        assert_eq!(handler.received_lists()[1..], [(5, response_time)]);
        assert_eq!(former.calls.borrow().len(), 1);
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against calls on a connection to a former address, which is about to close it, while the present
/// address refuses connections.
#[tokio::test(start_paused = true)]
async fn a_former_address_gets_no_further_call_although_the_present_one_fails() {
    let response_time = Duration::from_secs(1);
    let test = async {
        let (former, former_address) = TestDiscovery::start(Responses::After(response_time)).await;
        let handler = TestHandler::start_watch(moved_discovery(former_address));
        handler.set_address(SocketAddr::from(([127, 0, 0, 1], 1)));

        sleep(response_time * 3).await;

        assert_eq!(handler.received_lists(), [(1, response_time)]);
        assert_eq!(*former.calls.borrow(), ["/v1/endpoints"]);
        assert_eq!(former.open_connections.get(), 0);
        assert!(handler.failures().len() > 1, "the watch is reopened at the present address");
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a drain that discovery has sent but that is not applied, because an older list from a later
/// call arrived at about the same time and ended the call.
#[tokio::test(start_paused = true)]
async fn a_newer_list_that_arrives_just_after_an_older_one_from_a_later_call_is_used() {
    let first_arrival = Duration::from_secs(1);
    let second_arrival = first_arrival + Duration::from_millis(50);
    let test = async {
        let (former, former_address) =
            TestDiscovery::start(Responses::InTurn(vec![Reply::List(8, second_arrival)])).await;
        let (_present, present_address) =
            TestDiscovery::start(Responses::InTurn(vec![Reply::List(7, first_arrival)])).await;
        let handler = TestHandler::start_watch(moved_discovery(former_address));
        handler.set_address(present_address);

        sleep(first_arrival * 2).await;

        assert_eq!(handler.received_lists(), [(7, first_arrival), (8, second_arrival)]);
        assert_eq!(former.open_connections.get(), 0);
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against descriptors that fill up with calls to former addresses, and against a silent former address
/// that keeps those calls from being answered that could be.
#[tokio::test(start_paused = true)]
async fn many_changes_of_the_address_hold_few_connections_and_a_list_is_received() {
    const MAX_CONNECTIONS: usize = 4;
    let response_time = Duration::from_millis(1_500);
    let test = async {
        let (silent, silent_address) = TestDiscovery::start(Responses::Never).await;
        let handler = TestHandler::start_watch(moved_discovery(silent_address));
        let mut services = vec![silent];

        for _ in 0..60 {
            sleep(Duration::from_millis(200)).await;
            let (discovery, address) = TestDiscovery::start(Responses::After(response_time)).await;
            handler.set_address(address);
            services.push(discovery);
            let open_connections: usize = services.iter().map(|service| service.open_connections.get()).sum();
            // A connection may be accepted before the end of the one that it replaces has been read.
            assert!(open_connections <= MAX_CONNECTIONS + 1, "{open_connections} connections");
        }

        let received = handler.received_lists();
        let times = received.iter().map(|(_, after)| *after);
        let gaps = times.clone().zip(times.skip(1)).map(|(earlier, later)| later.saturating_sub(earlier));
        assert!(received[0].1 <= MAX_NOTIFICATION_DELAY, "{received:?}");
        assert!(gaps.max().expect("several lists") <= MAX_NOTIFICATION_DELAY, "{received:?}");
    };
    LocalSet::new().run_until(test).await;
}
