//! The suspicion of single servers and of whole zones, and gossip about suspected servers.

use super::gossip::{decode, encode, GossipBudget};
use super::zone_links::ZoneLinks;
use crate::policy::fleet::{ServerIndex, ServerRegistry, ServerState};
use crate::{Outcome, PeerId, Settings, Time, ZoneId};
use std::collections::BTreeSet;

/// A gossip message to another balancer.
pub struct GossipMessage {
    /// The receiver.
    pub to: PeerId,
    /// The contents.
    pub payload: Vec<u8>,
}

/// The state of the links to the zones, and the budget for gossip about suspected servers. The suspicion of
/// a single server is part of its [`ServerState`].
pub struct SuspicionTracker {
    zone_links: ZoneLinks,
    gossip_budget: GossipBudget,
}

impl SuspicionTracker {
    /// Creates a tracker with no failed links and a full gossip budget.
    pub fn new() -> Self {
        SuspicionTracker { zone_links: ZoneLinks::default(), gossip_budget: GossipBudget::new() }
    }

    /// Adds the bytes for one client request to the gossip budget.
    pub fn refill_gossip_budget(&mut self) {
        self.gossip_budget.refill();
    }

    /// Returns whether a server is suspected, either individually or because the link to its zone is down.
    pub fn is_suspected(&self, now: Time, server: &ServerState) -> bool {
        self.zone_links.is_down(now, server.endpoint.zone) || server.suspicion.is_active(now)
    }

    /// Records the outcome of an attempt for the link to the zone of its server. Only successes and failed
    /// connects count.
    pub fn record_outcome(&mut self, now: Time, zone: ZoneId, outcome: Outcome) {
        match outcome {
            Outcome::Success => self.zone_links.record_success(zone),
            Outcome::ConnectFailed => self.zone_links.record_connect_failure(zone, now),
            _ => {}
        }
    }

    /// Suspects a server, and returns the messages that notify some peers of the suspicion. Returns no
    /// messages if gossip is not allowed.
    pub fn suspect(
        &mut self,
        server: &mut ServerState,
        now: Time,
        settings: &Settings,
        rng: &mut fastrand::Rng,
    ) -> Vec<GossipMessage> {
        server.suspicion.start(now);
        if !settings.allows_gossip {
            return Vec::new();
        }
        let payload = encode(server.endpoint.server);
        let receivers = self.gossip_budget.draw_receivers(settings, rng);
        receivers.into_iter().map(|to| GossipMessage { to, payload: payload.to_vec() }).collect()
    }

    /// Drops the links to all zones that are not in `known_zones`.
    pub fn retain_zones(&mut self, known_zones: &BTreeSet<ZoneId>) {
        self.zone_links.retain(known_zones);
    }

    /// Returns the number of zones whose link has a failed connect since its last success.
    #[cfg(test)]
    pub fn failed_link_count(&self) -> usize {
        self.zone_links.len()
    }
}

/// Suspects the server that a gossip message names, and returns its index. Returns `None`, and changes
/// nothing, if the message names no known server.
///
/// Gossip has no other effect, so messages that are old, lost or false do little harm.
pub fn receive_gossip(payload: &[u8], now: Time, fleet: &mut ServerRegistry) -> Option<ServerIndex> {
    let index = fleet.find(decode(payload)?)?;
    fleet[index].suspicion.extend_by_gossip(now);
    Some(index)
}

#[cfg(test)]
mod tests;
