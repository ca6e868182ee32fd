//! Tests of the watch with a discovery service that is silent, slow, or slow at times, or whose address
//! changes. The clock is paused.

mod churn;
mod test_discovery;

use super::call::MAX_CALL_WAIT;
use super::list_text::MAX_LIST_BYTES;
use super::*;
use serde::Serialize;
use serde_json::ser::{PrettyFormatter, Serializer};
use serde_json::{json, Value};
use std::cell::RefCell;
use std::time::Duration;
use test_discovery::{known_version, Reply, Responses, TestDiscovery};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, Instant};

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
/// The number of servers of the largest fleet (STANDING page).
const LARGEST_FLEET: usize = 3_200;

/// A handler that records events and, like the balancer, reopens the watch some time after a failure.
struct TestHandler {
    discovery: RefCell<Discovery>,
    started_at: Instant,
    events: RefCell<Vec<(Duration, WatchEvent)>>,
}

impl TestHandler {
    fn start_watch(discovery: Discovery) -> Rc<Self> {
        let handler = Rc::new(TestHandler {
            discovery: RefCell::new(discovery),
            started_at: Instant::now(),
            events: RefCell::default(),
        });
        handler.watch();
        handler
    }

    fn watch(self: &Rc<Self>) {
        self.discovery.borrow_mut().watch(self.clone());
    }

    fn set_address(self: &Rc<Self>, address: SocketAddr) {
        self.discovery.borrow_mut().set_address(address);
        self.watch();
    }

    /// Waits until the watch has failed or a list has arrived.
    async fn wait_for_event(&self) {
        while self.events.borrow().is_empty() && self.started_at.elapsed() < MAX_NOTIFICATION_DELAY {
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Returns when failures were reported, counted from the start.
    fn failures(&self) -> Vec<Duration> {
        let events = self.events.borrow();
        let failures = events.iter().filter(|(_, event)| *event == WatchEvent::Failed);
        failures.map(|(after, _)| *after).collect()
    }

    /// Returns the versions of the received lists, and when they arrived, counted from the start.
    fn received_lists(&self) -> Vec<(u64, Duration)> {
        let events = self.events.borrow();
        let version_of = |(after, event): &(Duration, WatchEvent)| match event {
            WatchEvent::Endpoints(list) => Some((list.version, *after)),
            WatchEvent::Failed => None,
        };
        events.iter().filter_map(version_of).collect()
    }

    /// Returns when a list of at least this version arrived, counted from the start.
    fn received_after(&self, version: u64) -> Option<Duration> {
        self.received_lists().into_iter().find(|(received, _)| *received >= version).map(|(_, after)| after)
    }
}

impl WatchHandler for TestHandler {
    fn handle_watch_event(self: Rc<Self>, event: WatchEvent) {
        let is_failure = event == WatchEvent::Failed;
        self.events.borrow_mut().push((self.started_at.elapsed(), event));
        if is_failure {
            spawn_local(async move {
                sleep(MAX_REOPEN_DELAY).await;
                self.watch();
            });
        }
    }
}

/// Returns a `Discovery` that has been moved to this address, so that its watch begins with the complete
/// list.
fn moved_discovery(address: SocketAddr) -> Discovery {
    let mut discovery = Discovery::new(SocketAddr::from(([127, 0, 0, 1], 1)), CACHED_VERSION);
    discovery.set_address(address);
    discovery
}

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

/// Returns the complete list of the largest fleet. Each entry has a field of `extra_bytes` that no agent
/// knows.
fn list_of_the_largest_fleet(version: u64, extra_bytes: usize) -> Value {
    let entry = |number: usize| {
        json!({"host": format!("s-{number:08x}"), "dial": "127.0.0.1:18443", "site": "dc-machakos", "class": "std-1",
               "block": 3, "health": "up", "share": 1.0, "born_ms": 1_700_000_000_000_u64, "extra": "x".repeat(extra_bytes)})
    };
    let entries: Vec<Value> = (0..LARGEST_FLEET).map(entry).collect();
    json!({"seq": version, "whole": true, "hosts": entries})
}

/// Returns the text of a value, each level indented by `indent`.
fn indented(value: &Value, indent: &str) -> String {
    let mut text = Vec::new();
    let formatter = PrettyFormatter::with_indent(indent.as_bytes());
    value.serialize(&mut Serializer::with_formatter(&mut text, formatter)).expect("a text");
    String::from_utf8(text).expect("a text")
}

/// Guards against drains that are never heard because the list of the largest fleet is too long when it is
/// indented.
#[tokio::test]
async fn the_list_of_the_largest_fleet_is_received_in_any_indentation() {
    let list = list_of_the_largest_fleet(7, 0);
    let mut texts: Vec<String> =
        ["", "\t", "  ", "        ", &" ".repeat(32)].iter().map(|indent| indented(&list, indent)).collect();
    texts.push(list.to_string());
    texts.push(list_of_the_largest_fleet(7, 300).to_string());
    for text in texts {
        let length = text.len();
        let test = async {
            let (_discovery, address) =
                TestDiscovery::start(Responses::InTurn(vec![Reply::Text(text)])).await;
            let handler = TestHandler::start_watch(moved_discovery(address));

            handler.wait_for_event().await;

            let events = handler.events.borrow();
            let [(_, WatchEvent::Endpoints(list))] = events.as_slice() else {
                panic!("no list from {length} bytes: {events:?}");
            };
            assert_eq!((list.version, list.entries.len()), (7, LARGEST_FLEET));
        };
        LocalSet::new().run_until(test).await;
    }
}

/// Guards against a response without an end that fills the memory, and a list that is not heard after it.
#[tokio::test(start_paused = true)]
async fn a_response_that_is_no_list_or_too_long_fails_its_call_and_the_next_list_is_received() {
    let unusable = [
        "x".repeat(MAX_LIST_BYTES + 1),
        "{}".to_owned(),
        json!({"seq": 9, "hosts": []}).to_string(),
        "]".to_owned(),
    ];
    let test = async {
        let failure_count = unusable.len();
        let mut replies: Vec<Reply> = unusable.into_iter().map(Reply::Text).collect();
        replies.push(Reply::List(7, Duration::ZERO));
        let (_discovery, address) = TestDiscovery::start(Responses::InTurn(replies)).await;
        let handler = TestHandler::start_watch(moved_discovery(address));

        sleep(MAX_REOPEN_DELAY * 5).await;

        assert_eq!(handler.failures().len(), failure_count);
        assert!(handler.received_after(7).is_some());
        assert_eq!(handler.received_lists().len(), 1);
    };
    LocalSet::new().run_until(test).await;
}
