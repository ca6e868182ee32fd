//! Which of the candidates is lightest.

use super::context::RoutingContext;
use super::memory::ServerMemory;
use super::request::RoutingRequest;
use crate::policy::fleet::{FleetView, ServerIndex, ServerState};
use crate::policy::suspicion::SUSPECTED_SHARE;
use crate::{EndpointWeights, Settings};

/// A server in another zone, or a new connection, weighs this much more for each 1% of a request that it
/// costs.
const WEIGHT_PER_PERCENT: f64 = 0.25;
const PERCENT: f64 = 100.0;
/// Crossing zones weighs less than one more request at an idle server; otherwise its cost would fill a zone.
const MAX_CROSS_ZONE_WEIGHT: f64 = 1.8;
/// The work of a handshake, in requests: operators count 25 to 40 ms against 87 to 180 ms.
const HANDSHAKE_WORK: f64 = 0.25;
/// A server wins the draw to be remembered and again at each choice from memory; what is drawn settles in
/// proportion to its estimated capacity if the draw is weighted by this power of it
/// (docs/findings/fleet-handshakes.md).
const CAPACITY_POWER: f64 = 0.6;
/// Estimated capacity falls with this power of latency; with 1 slow machines time out while fast ones idle.
const LATENCY_POWER: i32 = 3;
/// A load report decays over about this many milliseconds.
const REPORT_DECAY_MS: f64 = 2000.0;
/// The load of a routing key's last server is multiplied by this: it wins unless it is clearly more loaded.
const KEY_SERVER_WEIGHT: f64 = 0.7;
/// A machine's slowness counts with this power, times the request's work weight.
const SLOWNESS_POWER: f64 = 0.5;
/// Loads that differ by less than this (as a logarithm) are equal: a quarter is well within chance
/// (docs/findings/ties.md).
const EQUAL_LOADS: f64 = 0.25;

/// How a candidate compares: the least rank wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct CandidateRank {
    own_load: i64,
    reported_load: i64,
    /// A random number of zero or more, as the bits of an `f64`, which compare as the number does.
    tie_break: u64,
}

/// Ranks the candidates for a request.
pub struct Ranking<'a> {
    pub context: &'a RoutingContext<'a>,
    pub memory: &'a ServerMemory,
    pub request: &'a RoutingRequest,
}

impl Ranking<'_> {
    /// The candidate with the least own load. Load reports decide ties, and a random draw what is left.
    pub fn lightest(&self, candidates: &[ServerIndex], rng: &mut fastrand::Rng) -> Option<ServerIndex> {
        candidates.iter().copied().min_by_key(|&candidate| self.rank(candidate, rng.f64()))
    }

    fn rank(&self, candidate: ServerIndex, draw: f64) -> CandidateRank {
        match self.context.view() {
            FleetView::Dense => self.dense_rank(candidate, draw),
            FleetView::Sparse => self.sparse_rank(candidate, draw),
        }
    }

    /// In a dense view: own requests in flight, scaled by what the machine costs (how slow it has shown
    /// itself, a priced crossing of zones, a known routing key).
    fn dense_rank(&self, candidate: ServerIndex, draw: f64) -> CandidateRank {
        let server = &self.context.fleet[candidate];
        let key_weight = if self.request.key_server == Some(candidate) { KEY_SERVER_WEIGHT } else { 1.0 };
        let slowness = server.latency.relative_slowness() * key_weight;
        let slowness_weight = slowness.powf(SLOWNESS_POWER * self.request.work_weight);
        let load = (own_requests(server) * zone_weight(self.context.settings, server) * slowness_weight).ln();
        CandidateRank {
            own_load: (load / EQUAL_LOADS).round() as i64,
            reported_load: server.reported_load.known().round() as i64,
            tie_break: draw.to_bits(),
        }
    }

    /// In a sparse view: plain counts, and the draw is weighted by the estimated capacity of each candidate
    /// and, where an open connection saves a handshake, by the cost of that.
    fn sparse_rank(&self, candidate: ServerIndex, draw: f64) -> CandidateRank {
        let server = &self.context.fleet[candidate];
        let is_remembered = self.memory.contains(candidate);
        let connection_weight =
            if is_remembered { saved_handshake_weight(self.context.settings) } else { 1.0 };
        let weight = self.estimated_capacity(server) * connection_weight;
        let is_polled = self.context.load_polling.is_enabled();
        CandidateRank {
            own_load: i64::from(server.in_flight),
            reported_load: if is_polled { server.reported_load.known().round() as i64 } else { 0 },
            tie_break: (-(1.0 - draw).ln() / weight).to_bits(),
        }
    }

    /// The capacity of a server relative to others: its listed size over its expected load and latency.
    fn estimated_capacity(&self, server: &ServerState) -> f64 {
        let context = self.context;
        let size = listed_size(context.settings, server);
        let mean_load = context.load_reports.mean_load();
        let load = server.reported_load.expected(context.now, REPORT_DECAY_MS, mean_load);
        let ratio = context.latency.expected_ratio(server.endpoint.machine_kind, &server.latency);
        let is_suspected = context.suspicion.is_suspected(context.now, server);
        let share = if is_suspected { SUSPECTED_SHARE } else { 1.0 };
        share * (size / (1.0 + load) / ratio.value().powi(LATENCY_POWER)).powf(CAPACITY_POWER)
    }
}

/// Own requests at the server, the new one included. An ejected server that was drawn for its probe goes
/// first: by its load it would never be chosen.
fn own_requests(server: &ServerState) -> f64 {
    if server.health.is_ejected() {
        return 0.0;
    }
    f64::from(server.in_flight) + 1.0
}

/// What a server weighs for the zone that it is in.
fn zone_weight(settings: &Settings, server: &ServerState) -> f64 {
    if server.endpoint.zone == settings.local_zone {
        return 1.0;
    }
    let crossing = 1.0 + PERCENT * WEIGHT_PER_PERCENT * settings.costs.cross_zone;
    crossing.clamp(1.0, MAX_CROSS_ZONE_WEIGHT)
}

/// How much more likely an open connection makes a server, for the handshake that it saves.
fn saved_handshake_weight(settings: &Settings) -> f64 {
    let handshake_cost = settings.costs.handshake + HANDSHAKE_WORK * settings.costs.wasted_work;
    1.0 + PERCENT * WEIGHT_PER_PERCENT * handshake_cost
}

/// The size of the server where the endpoint list tells it; otherwise all are alike.
fn listed_size(settings: &Settings, server: &ServerState) -> f64 {
    let weight = server.endpoint.weight;
    let has_size = settings.endpoint_weights == EndpointWeights::Size;
    if has_size && weight.is_finite() && weight > 0.0 {
        weight
    } else {
        1.0
    }
}
