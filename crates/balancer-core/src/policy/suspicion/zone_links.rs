//! The links to the zones, as failed connects show them.

use crate::{Span, Time, ZoneId};
use std::collections::{BTreeMap, BTreeSet};

/// Failed connects to a zone in a row, to any of its servers, that show a cut link and not a dead server.
const MAX_FAILURES: u32 = 2;
/// How long the link is then taken to be cut.
const CUT_DURATION: Span = Span::from_secs(5);

#[derive(Default)]
struct ZoneLink {
    /// Failed connects in a row.
    failures: u32,
    cut_until: Time,
}

/// The links that have failed since the last success over them.
#[derive(Default)]
pub struct ZoneLinks {
    links: BTreeMap<ZoneId, ZoneLink>,
}

impl ZoneLinks {
    /// Records a failed connect to a zone, to any of its servers.
    pub fn record_connect_failure(&mut self, zone: ZoneId, now: Time) {
        if self.count_failure(zone) >= MAX_FAILURES {
            self.cut(zone, now + CUT_DURATION);
        }
    }

    /// Records a success over the link to a zone: it is not cut.
    pub fn record_success(&mut self, zone: ZoneId) {
        self.links.remove(&zone);
    }

    /// Whether the link to a zone is taken to be cut.
    pub fn is_cut(&self, now: Time, zone: ZoneId) -> bool {
        self.links.get(&zone).is_some_and(|link| now < link.cut_until)
    }

    /// Forgets the other zones.
    pub fn retain(&mut self, known: &BTreeSet<ZoneId>) {
        self.links.retain(|zone, _| known.contains(zone));
    }

    /// Counts a failed connect and returns how many there were in a row.
    fn count_failure(&mut self, zone: ZoneId) -> u32 {
        let link = self.links.entry(zone).or_default();
        link.failures += 1;
        link.failures
    }

    fn cut(&mut self, zone: ZoneId, until: Time) {
        self.links.entry(zone).or_default().cut_until = until;
    }

    /// Zones with a link that has failed.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.links.len()
    }
}

#[cfg(test)]
mod tests;
