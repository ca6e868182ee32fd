//! A handler of the watch that records its events.

use super::{CACHED_VERSION, MAX_NOTIFICATION_DELAY, MAX_REOPEN_DELAY};
use crate::discovery::{Discovery, WatchEvent, WatchHandler};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

/// A handler that records events and, like the balancer, reopens the watch some time after a failure.
pub struct TestHandler {
    /// The discovery whose events are recorded.
    pub discovery: RefCell<Discovery>,
    started_at: Instant,
    /// The events, and when they occurred, counted from the start.
    pub events: RefCell<Vec<(Duration, WatchEvent)>>,
}

impl TestHandler {
    /// Starts the watch, whose events the returned handler records.
    pub fn start_watch(discovery: Discovery) -> Rc<Self> {
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

    /// Changes the address of discovery.
    pub fn set_address(self: &Rc<Self>, address: SocketAddr) {
        self.discovery.borrow_mut().set_address(address);
        self.watch();
    }

    /// Waits until the watch has failed or a list has arrived.
    pub async fn wait_for_event(&self) {
        while self.events.borrow().is_empty() && self.started_at.elapsed() < MAX_NOTIFICATION_DELAY {
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Returns when failures were reported, counted from the start.
    pub fn failures(&self) -> Vec<Duration> {
        let events = self.events.borrow();
        let failures = events.iter().filter(|(_, event)| *event == WatchEvent::Failed);
        failures.map(|(after, _)| *after).collect()
    }

    /// Returns the versions of the received lists, and when they arrived, counted from the start.
    pub fn received_lists(&self) -> Vec<(u64, Duration)> {
        let events = self.events.borrow();
        let version_of = |(after, event): &(Duration, WatchEvent)| match event {
            WatchEvent::Endpoints(list) => Some((list.version, *after)),
            WatchEvent::Failed => None,
        };
        events.iter().filter_map(version_of).collect()
    }

    /// Returns when a list of at least this version arrived, counted from the start.
    pub fn received_after(&self, version: u64) -> Option<Duration> {
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
pub fn moved_discovery(address: SocketAddr) -> Discovery {
    let mut discovery = Discovery::new(SocketAddr::from(([127, 0, 0, 1], 1)), CACHED_VERSION);
    discovery.set_address(address);
    discovery
}
