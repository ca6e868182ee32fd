//! Suspicion, the form that ejection takes in a sparse view. A balancer that meets a server once in many
//! seconds cannot probe it: the probes of all balancers together would be a load of their own. It sends a
//! suspected server a small part of its share for a while, and gossips to some peers, because each of them
//! would otherwise lose a request of its own to find out.

use crate::state::{Budget, ServerIndex};
use crate::{Action, Balancer, PeerId, ServerId, Span, ZoneId};

/// The part of its share that a suspected server is still sent.
pub const SUSPECTED_SHARE: f64 = 0.05;
/// How long suspicion lasts after own evidence, and after gossip.
const OWN_SUSPICION: Span = Span(8_000_000);
const GOSSIP_SUSPICION: Span = Span(5_000_000);
/// Failed connects to a zone in a row, to any of its servers, that show a cut link and not a dead server, and
/// how long the link is then taken to be cut.
const MAX_ZONE_FAILURES: u32 = 2;
const ZONE_SUSPICION: Span = Span(5_000_000);
/// Most peers that are notified of one suspected server.
const MAX_GOSSIP_PEERS: u32 = 64;
/// Bytes of gossip that each request earns, and the most that can be saved up.
const GOSSIP_BYTES_PER_REQUEST: f64 = 25.0;
const MAX_GOSSIP_BYTES: f64 = 512.0;

impl Balancer {
    /// A full budget of bytes that may be gossiped.
    pub(crate) fn full_gossip_budget() -> Budget {
        Budget::new(MAX_GOSSIP_BYTES)
    }

    /// Earns the bytes of gossip that one request is worth.
    pub(crate) fn earn_gossip(&mut self) {
        self.gossip_budget.earn(GOSSIP_BYTES_PER_REQUEST, MAX_GOSSIP_BYTES);
    }

    /// Whether the server is under suspicion, by itself or with its zone.
    pub(crate) fn is_suspected(&self, index: ServerIndex) -> bool {
        let server = &self.registry[index];
        self.zone_links.is_cut(self.now, server.endpoint.zone) || self.now < server.health.suspected_until
    }

    /// Takes in a failed connect to a zone.
    pub(crate) fn record_connect_failure(&mut self, zone: ZoneId) {
        if self.zone_links.count_failure(zone) >= MAX_ZONE_FAILURES {
            self.zone_links.cut(zone, self.now + ZONE_SUSPICION);
        }
    }

    /// Puts a server under suspicion and notifies some peers.
    pub(crate) fn suspect(&mut self, index: ServerIndex) {
        let server = &mut self.registry[index];
        server.health.suspected_until = self.now + OWN_SUSPICION;
        self.memory.forget(index);
        if !self.settings.allows_gossip {
            return;
        }
        let payload = server.endpoint.server.0.to_be_bytes().to_vec();
        let (balancers, message_bytes) = (self.settings.balancer_count, payload.len() as f64);
        let affordable = (self.gossip_budget.balance() / message_bytes) as u32;
        for _ in 0..affordable.min(MAX_GOSSIP_PEERS).min(balancers - 1) {
            self.gossip_budget.spend(message_bytes);
            let peer = PeerId(self.rng.u32(0..balancers));
            self.actions.push(Action::Gossip { to: Some(peer), payload: payload.clone() });
        }
    }

    /// Takes in gossip: it makes a known server suspected for a short while and does nothing else, so that
    /// old, lost or false gossip is harmless.
    pub(crate) fn receive_gossip(&mut self, payload: &[u8]) {
        let Ok(id) = payload.try_into().map(u32::from_be_bytes) else { return };
        let Some(index) = self.registry.find(ServerId(id)) else { return };
        let (now, health) = (self.now, &mut self.registry[index].health);
        health.suspected_until = health.suspected_until.max(now + GOSSIP_SUSPICION);
        let registry = &self.registry;
        self.memory.retain(|server| registry[server].health.suspected_until <= now);
    }
}
