//! The links to the zones, as failed connects show them.

use crate::{Time, ZoneId};
use std::collections::{BTreeMap, BTreeSet};

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
    /// Counts a failed connect to a zone, to any of its servers, and returns how many there were in a row.
    pub fn count_failure(&mut self, zone: ZoneId) -> u32 {
        let link = self.links.entry(zone).or_default();
        link.failures += 1;
        link.failures
    }

    /// Takes the link to a zone to be cut for a while.
    pub fn cut(&mut self, zone: ZoneId, until: Time) {
        self.links.entry(zone).or_default().cut_until = until;
    }

    /// Takes in a success: the link stands.
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

    /// Zones with a link that has failed.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.links.len()
    }
}

#[cfg(test)]
mod tests;
