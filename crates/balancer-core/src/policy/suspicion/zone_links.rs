//! The state of the network links to the zones, derived from failed connects.

use crate::{Span, Time, ZoneId};
use std::collections::{BTreeMap, BTreeSet};

/// Consecutive failed connects to any servers of a zone after which the link to the zone is marked down. A
/// single failed connect may be due to a dead server.
const CONSECUTIVE_FAILURES_TO_MARK_DOWN: u32 = 2;
/// How long a link stays marked down.
const DOWN_DURATION: Span = Span::from_secs(5);

/// The state of the link to one zone.
#[derive(Default)]
struct ZoneLink {
    /// Failed connects since the last success.
    consecutive_failures: u32,
    /// Until when the link is marked down; the epoch if it has not been marked down.
    down_until: Time,
}

/// The state of the links to all zones.
#[derive(Default)]
pub struct ZoneLinks {
    /// The links that have a failed connect since their last success.
    links: BTreeMap<ZoneId, ZoneLink>,
}

impl ZoneLinks {
    /// Records a failed connect to any server of a zone. Marks the link to the zone down after several
    /// failed connects in a row.
    pub fn record_connect_failure(&mut self, zone: ZoneId, now: Time) {
        if self.count_failure(zone) >= CONSECUTIVE_FAILURES_TO_MARK_DOWN {
            self.mark_down(zone, now + DOWN_DURATION);
        }
    }

    /// Records a success of any server of a zone, which shows that the link is up.
    pub fn record_success(&mut self, zone: ZoneId) {
        self.links.remove(&zone);
    }

    /// Returns whether the link to a zone is marked down.
    pub fn is_down(&self, now: Time, zone: ZoneId) -> bool {
        self.links.get(&zone).is_some_and(|link| now < link.down_until)
    }

    /// Drops the links to all zones that are not in `known_zones`.
    pub fn retain(&mut self, known_zones: &BTreeSet<ZoneId>) {
        self.links.retain(|zone, _| known_zones.contains(zone));
    }

    /// Counts a failed connect, and returns the number of failed connects since the last success.
    fn count_failure(&mut self, zone: ZoneId) -> u32 {
        let link = self.links.entry(zone).or_default();
        link.consecutive_failures += 1;
        link.consecutive_failures
    }

    /// Marks the link to a zone down until the given time.
    fn mark_down(&mut self, zone: ZoneId, until: Time) {
        self.links.entry(zone).or_default().down_until = until;
    }

    /// Returns the number of links that have a failed connect since their last success.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.links.len()
    }
}

#[cfg(test)]
mod tests;
