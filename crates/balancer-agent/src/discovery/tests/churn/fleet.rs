//! The servers that discovery lists, and when the agent counts as notified of their changes.

use serde_json::{json, Value};
use std::time::Duration;
use tokio::time::Instant;

/// The number of servers at the start.
const SERVER_COUNT: usize = 6;
/// A change counts as notified this long after discovery had it and could be reached (STANDING page).
const MAX_NOTIFICATION_DELAY: Duration = Duration::from_secs(6);
/// A change counts as notified this long after a change of the address of discovery (TERMS page,
/// "Reconfiguration").
const NOTIFIED_AFTER_ADDRESS_CHANGE: Duration = Duration::from_secs(4);

/// Whether a server accepts requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// The server accepts requests.
    Up,
    /// The server is listed, and accepts no new requests.
    Draining,
    /// The server is not listed.
    Removed,
}

/// A change of one server.
struct Change {
    version: u64,
    health: Health,
    at: Instant,
    /// When the agent counts as notified of the change, or of a later version.
    notified_at: Option<Instant>,
}

/// The servers, by number. Each has a history of changes that is never empty.
pub struct Fleet {
    histories: Vec<Vec<Change>>,
    version: u64,
    /// The versions that have been written to the agent, and when.
    written: Vec<(u64, Instant)>,
}

impl Fleet {
    /// Creates a fleet whose servers are up, which is known to the agent as version 1.
    pub fn new() -> Self {
        let now = Instant::now();
        let initial = || vec![Change { version: 1, health: Health::Up, at: now, notified_at: Some(now) }];
        let histories = (0..SERVER_COUNT).map(|_| initial()).collect();
        Fleet { histories, version: 1, written: Vec::new() }
    }

    /// Returns the number of servers, those that are not up included.
    pub fn server_count(&self) -> usize {
        self.histories.len()
    }

    /// Returns the version of the list.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the health of a server.
    pub fn health(&self, server: usize) -> Health {
        self.last_change(server).health
    }

    /// Returns whether a server accepts requests.
    pub fn is_serving(&self, server: usize) -> bool {
        self.health(server) == Health::Up
    }

    fn last_change(&self, server: usize) -> &Change {
        self.histories[server].last().expect("a history is never empty")
    }

    /// Changes the health of a server.
    pub fn change(&mut self, server: usize, health: Health) {
        self.version += 1;
        let change = Change { version: self.version, health, at: Instant::now(), notified_at: None };
        self.histories[server].push(change);
    }

    /// Returns the list of a response: the changes after `known_version`, or the complete list.
    pub fn list(&self, known_version: Option<u64>) -> Value {
        let is_listed = |server: &usize| match known_version {
            Some(known_version) => self.last_change(*server).version > known_version,
            None => self.health(*server) != Health::Removed,
        };
        let servers = (0..self.server_count()).filter(is_listed);
        let entries: Vec<Value> = servers.map(|server| self.entry(server)).collect();
        json!({"seq": self.version, "whole": known_version.is_none(), "hosts": entries})
    }

    fn entry(&self, server: usize) -> Value {
        let health = match self.health(server) {
            Health::Up => "up",
            Health::Draining => "draining",
            Health::Removed => "removed",
        };
        json!({"host": server.to_string(), "dial": "127.0.0.1:1", "health": health})
    }

    /// Records that a list with this version has been written to the agent.
    pub fn record_written(&mut self, version: u64) {
        self.written.push((version, Instant::now()));
    }

    /// Records of which changes the agent counts as notified by now. Discovery can be reached since
    /// `reachable_since`, or cannot be reached now; its address has changed at `address_changes`.
    pub fn record_notifications(
        &mut self,
        now: Instant,
        reachable_since: Option<Instant>,
        address_changes: &[Instant],
    ) {
        let unknown = self.histories.iter_mut().flatten().filter(|change| change.notified_at.is_none());
        for change in unknown {
            let written_at = self.written.iter().find(|(version, _)| *version >= change.version);
            let known_since = reachable_since.map(|reachable_since| reachable_since.max(change.at));
            let told_at = known_since.map(|since| since + MAX_NOTIFICATION_DELAY);
            let address_change =
                address_changes.iter().find(|at| known_since.is_some_and(|since| **at >= since));
            let told_after_address_change = address_change.map(|at| *at + NOTIFIED_AFTER_ADDRESS_CHANGE);
            let times = [written_at.map(|(_, at)| *at), told_at, told_after_address_change];
            change.notified_at = times.into_iter().flatten().min().filter(|at| *at <= now);
        }
    }

    /// Returns when the agent counts as notified of the state of a server, or `None` if it does not yet.
    pub fn notified_at(&self, server: usize) -> Option<Instant> {
        self.last_change(server).notified_at
    }

    /// Returns when the agent counts as notified that a server that is not up has ceased to be so.
    pub fn notified_of_end_at(&self, server: usize) -> Option<Instant> {
        let is_down = |change: &&Change| change.health != Health::Up;
        self.histories[server].iter().rev().take_while(is_down).filter_map(|change| change.notified_at).min()
    }
}
