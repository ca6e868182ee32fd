//! Which of the candidates is lightest.

use super::routing::RoutingRequest;
use super::suspicion::SUSPECTED_SHARE;
use crate::state::ServerIndex;
use crate::{Balancer, EndpointWeights};

/// A server in another zone, or a new connection, weighs this much more for each 1% of a request that it is
/// priced at; crossing zones less than one more request at an idle server, or the cost would fill a zone.
const WEIGHT_PER_PERCENT: f64 = 0.25;
const MAX_CROSS_ZONE_WEIGHT: f64 = 1.8;
/// The work of a handshake, in requests: operators count 25 to 40 ms against 87 to 180 ms.
const HANDSHAKE_WORK: f64 = 0.25;
/// A server wins the draw to be remembered and again at each choice from memory; what is drawn settles in
/// proportion to its estimated capacity if this power of it weighs the draw.
const CAPACITY_POWER: f64 = 0.6;
/// Estimated capacity falls with this power of latency; with 1 slow machines time out while fast ones idle.
const LATENCY_POWER: i32 = 3;
/// A load report decays over about this many milliseconds.
const REPORT_DECAY_MS: f64 = 2000.0;
/// The load of a routing key's last server is multiplied by this: it wins unless it is clearly more loaded.
const KEY_SERVER_WEIGHT: f64 = 0.7;
/// A machine's slowness counts with this power, times the request's work weight.
const SLOWNESS_POWER: f64 = 0.5;
/// Loads that differ by less than this (as a logarithm) are equal: a quarter is well within chance.
const EQUAL_LOADS: f64 = 0.25;

/// How a candidate compares: the least rank wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct CandidateRank {
    own_load: i64,
    reported_load: i64,
    /// A random number of zero or more, as the bits of an `f64`, which compare as the number does.
    tie_break: u64,
}

impl Balancer {
    /// The candidate with the least own load. Ties fall by load reports; a random draw is last.
    pub(crate) fn lightest(
        &mut self,
        candidates: &[ServerIndex],
        routing: &RoutingRequest,
    ) -> Option<ServerIndex> {
        let mut lightest: Option<(CandidateRank, ServerIndex)> = None;
        for &candidate in candidates {
            let draw = self.rng.f64();
            let is_sparse = self.is_sparse();
            let rank = if is_sparse {
                self.sparse_rank(candidate, draw)
            } else {
                self.dense_rank(candidate, routing, draw)
            };
            if lightest.is_none_or(|(least, _)| rank < least) {
                lightest = Some((rank, candidate));
            }
        }
        lightest.map(|(_, server)| server)
    }

    /// In a dense view: own requests in flight, scaled by what the machine costs (how slow it has shown
    /// itself, a priced crossing, a known routing key).
    fn dense_rank(&self, candidate: ServerIndex, routing: &RoutingRequest, draw: f64) -> CandidateRank {
        let server = &self.registry[candidate];
        let crossing = 1.0 + 100.0 * WEIGHT_PER_PERCENT * self.settings.costs.cross_zone;
        let is_local = server.endpoint.zone == self.settings.local_zone;
        let zone_weight = if is_local { 1.0 } else { crossing.clamp(1.0, MAX_CROSS_ZONE_WEIGHT) };
        let key_weight = if routing.key_server == Some(candidate) { KEY_SERVER_WEIGHT } else { 1.0 };
        let slowness = server.latency.relative_slowness * key_weight;
        // An ejected server drawn for its probe goes first: by its load it would never be chosen.
        let is_ejected = server.health.ejection.is_some();
        let requests = if is_ejected { 0.0 } else { f64::from(server.in_flight) + 1.0 };
        let load = (requests * zone_weight * slowness.powf(SLOWNESS_POWER * routing.work_weight)).ln();
        let reported_load = server.reported_load.known().round() as i64;
        CandidateRank {
            own_load: (load / EQUAL_LOADS).round() as i64,
            reported_load,
            tie_break: draw.to_bits(),
        }
    }

    /// In a sparse view: plain counts, and the draw is weighted by the estimated capacity of each candidate
    /// and, where an open connection saves a handshake, by the cost of that.
    fn sparse_rank(&self, candidate: ServerIndex, draw: f64) -> CandidateRank {
        let server = &self.registry[candidate];
        let costs = &self.settings.costs;
        let handshake = costs.handshake + HANDSHAKE_WORK * costs.wasted_work;
        let saved_handshake = 1.0 + 100.0 * WEIGHT_PER_PERCENT * handshake;
        let is_remembered = self.memory.contains(candidate);
        let weight = self.estimated_capacity(candidate) * if is_remembered { saved_handshake } else { 1.0 };
        let reported_load = if self.polls_loads() { server.reported_load.known().round() as i64 } else { 0 };
        let tie_break = (-(1.0 - draw).ln() / weight).to_bits();
        CandidateRank { own_load: i64::from(server.in_flight), reported_load, tie_break }
    }

    /// The capacity of a server relative to others: its listed size over its expected load and latency.
    fn estimated_capacity(&self, index: ServerIndex) -> f64 {
        let server = &self.registry[index];
        let weight = server.endpoint.weight;
        let has_size = self.settings.endpoint_weights == EndpointWeights::Size;
        let size = if has_size && weight.is_finite() && weight > 0.0 { weight } else { 1.0 };
        let load = server.reported_load.expected(self.now, REPORT_DECAY_MS, self.mean_reported_load);
        let ratio = self.latency.expected_ratio(server.endpoint.machine_kind, &server.latency);
        let share = if self.is_suspected(index) { SUSPECTED_SHARE } else { 1.0 };
        share * (size / (1.0 + load) / ratio.powi(LATENCY_POWER)).powf(CAPACITY_POWER)
    }
}
