//! Which servers are under suspicion, by themselves or with their zone.

use super::gossip::{decode, encode, Gossiper};
use super::zone_links::ZoneLinks;
use crate::policy::fleet::{ServerIndex, ServerRegistry, ServerState};
use crate::{Outcome, PeerId, Settings, Time, ZoneId};
use std::collections::BTreeSet;

/// A message to another balancer.
pub struct GossipMessage {
    /// The receiver.
    pub to: PeerId,
    /// The contents.
    pub payload: Vec<u8>,
}

/// The links to the zones, and the gossip of suspected servers. The suspicion of a single server is part of
/// its record.
pub struct SuspicionTracker {
    zone_links: ZoneLinks,
    gossiper: Gossiper,
}

impl SuspicionTracker {
    /// A tracker that suspects nothing.
    pub fn new() -> Self {
        SuspicionTracker { zone_links: ZoneLinks::default(), gossiper: Gossiper::new() }
    }

    /// Earns the gossip that one request is worth.
    pub fn earn_gossip(&mut self) {
        self.gossiper.earn();
    }

    /// Whether the server is under suspicion, by itself or with its zone.
    pub fn is_suspected(&self, now: Time, server: &ServerState) -> bool {
        self.zone_links.is_cut(now, server.endpoint.zone) || server.suspicion.is_active(now)
    }

    /// Records how an attempt to a server in this zone ended.
    pub fn record_outcome(&mut self, now: Time, zone: ZoneId, outcome: Outcome) {
        match outcome {
            Outcome::Success => self.zone_links.record_success(zone),
            Outcome::ConnectFailed => self.zone_links.record_connect_failure(zone, now),
            _ => {}
        }
    }

    /// Puts a server under suspicion; returns the messages that notify some peers of it.
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
        let receivers = self.gossiper.pay_for_receivers(settings, rng);
        receivers.into_iter().map(|to| GossipMessage { to, payload: payload.to_vec() }).collect()
    }

    /// Forgets the links to other zones.
    pub fn retain_zones(&mut self, known: &BTreeSet<ZoneId>) {
        self.zone_links.retain(known);
    }

    /// Zones with a link that has failed.
    #[cfg(test)]
    pub fn failed_link_count(&self) -> usize {
        self.zone_links.len()
    }
}

/// Puts the server that gossip names under suspicion for a short while and returns it. Nothing else is done,
/// so that old, lost or false gossip is harmless; gossip of an unknown server is ignored.
pub fn receive_gossip(payload: &[u8], now: Time, fleet: &mut ServerRegistry) -> Option<ServerIndex> {
    let index = fleet.find(decode(payload)?)?;
    fleet[index].suspicion.extend_by_gossip(now);
    Some(index)
}

#[cfg(test)]
mod tests;
