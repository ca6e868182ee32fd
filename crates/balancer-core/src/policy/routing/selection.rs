//! Selection of the least loaded candidate.

use super::context::RoutingContext;
use super::memory::ServerMemory;
use super::request::RoutingRequest;
use crate::policy::fleet::{FleetView, ServerIndex, ServerState};
use crate::policy::suspicion::SUSPECTED_WEIGHT_FACTOR;
use crate::{EndpointWeights, Settings};

/// Increase of the cross-zone factor and the open-connection factor for each percent of a request's value
/// that a zone crossing or a handshake costs.
const FACTOR_INCREASE_PER_PERCENT: f64 = 0.25;
/// Factor that converts a fraction to percent.
const PERCENT_FACTOR: f64 = 100.0;
/// Upper bound of the factor on the load of a server in another zone.
///
/// With a factor above 2, local servers would get a second request before idle servers in other zones get
/// their first, and the local zone would fill up.
const MAX_CROSS_ZONE_FACTOR: f64 = 1.8;
/// The work of a handshake as a fraction of the work of a request. Operators report 25 to 40 ms for a
/// handshake and 87 to 180 ms for a request.
const HANDSHAKE_WORK_FRACTION: f64 = 0.25;
/// Exponent of a server's estimated capacity in its tie-break weight.
///
/// Capacity takes effect twice: a server must win a tie-break to be remembered, and then wins further
/// tie-breaks as a remembered server. With this exponent, servers receive requests in proportion to their
/// estimated capacities (docs/findings/fleet-handshakes.md).
const CAPACITY_EXPONENT: f64 = 0.6;
/// Exponent of the latency ratio by which estimated capacity is divided. With an exponent of 1, slow servers
/// time out while fast servers idle.
const LATENCY_EXPONENT: i32 = 3;
/// Time constant of the exponential decay of a load report's weight, in milliseconds.
const REPORT_DECAY_MS: f64 = 2000.0;
/// Factor on the slowness of the last server of a routing key, so that this server is selected unless it
/// is clearly more loaded than the other candidates.
const KEY_SERVER_FACTOR: f64 = 0.7;
/// Exponent of a server's relative slowness in its load. The slowness sensitivity of the request multiplies
/// the exponent.
const SLOWNESS_EXPONENT: f64 = 0.5;
/// Step size to which the natural logarithm of a load is rounded. Loads that round to the same step count as
/// equal: a difference of a quarter is well within random variation (docs/findings/ties.md).
const LOG_LOAD_STEP: f64 = 0.25;

/// The sort key of a candidate: fields are compared in order, and the candidate with the lowest rank is
/// selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct CandidateRank {
    /// The load according to the balancer's own requests in flight.
    own_load: i64,
    /// The load according to the server's last report; zero in a sparse view without polling.
    reported_load: i64,
    /// A random number of zero or more, as the bits of an `f64`. The bits have the same order as the numbers.
    tie_break: u64,
}

/// The ranking of the candidates for one request.
pub struct Ranking<'a> {
    /// The state of the balancer.
    pub context: &'a RoutingContext<'a>,
    /// The remembered servers.
    pub memory: &'a ServerMemory,
    /// The request to be sent.
    pub request: &'a RoutingRequest,
}

impl Ranking<'_> {
    /// Returns the candidate with the lowest own load. Ties are broken by load reports, then at random.
    /// Returns `None` if there are no candidates.
    pub fn least_loaded(&self, candidates: &[ServerIndex], rng: &mut fastrand::Rng) -> Option<ServerIndex> {
        candidates.iter().copied().min_by_key(|&candidate| self.rank(candidate, rng.f64()))
    }

    /// Ranks a candidate; `random` is uniform from 0 (included) to 1 (excluded).
    fn rank(&self, candidate: ServerIndex, random: f64) -> CandidateRank {
        match self.context.view() {
            FleetView::Dense => self.dense_rank(candidate, random),
            FleetView::Sparse => self.sparse_rank(candidate, random),
        }
    }

    /// Ranks a candidate in a dense view by own requests in flight, multiplied by factors for the slowness of
    /// the server, the cost of crossing zones and a known routing key.
    ///
    /// The product is rounded on a logarithmic scale.
    fn dense_rank(&self, candidate: ServerIndex, random: f64) -> CandidateRank {
        let server = &self.context.fleet[candidate];
        let key_factor = if self.request.key_server == Some(candidate) { KEY_SERVER_FACTOR } else { 1.0 };
        let slowness = server.latency.relative_slowness() * key_factor;
        let slowness_factor = slowness.powf(SLOWNESS_EXPONENT * self.request.slowness_sensitivity);
        let load = (own_requests(server) * zone_factor(self.context.settings, server) * slowness_factor).ln();
        CandidateRank {
            own_load: (load / LOG_LOAD_STEP).round() as i64,
            reported_load: server.reported_load.last_known().round() as i64,
            tie_break: random.to_bits(),
        }
    }

    /// Ranks a candidate in a sparse view by own requests in flight, without factors.
    ///
    /// The random tie-break is weighted by the candidate's estimated capacity and, for a remembered server,
    /// by the cost of the handshake that its open connection avoids.
    fn sparse_rank(&self, candidate: ServerIndex, random: f64) -> CandidateRank {
        let server = &self.context.fleet[candidate];
        let is_remembered = self.memory.contains(candidate);
        let connection_factor =
            if is_remembered { open_connection_factor(self.context.settings) } else { 1.0 };
        let weight = self.capacity_weight(server) * connection_factor;
        let is_polled = self.context.load_polling.is_enabled();
        CandidateRank {
            own_load: i64::from(server.in_flight),
            reported_load: if is_polled { server.reported_load.last_known().round() as i64 } else { 0 },
            // An exponentially distributed number with rate `weight`. The probability that it is the lowest
            // number of all candidates is proportional to the weight.
            tie_break: (-(1.0 - random).ln() / weight).to_bits(),
        }
    }

    /// Returns the tie-break weight of a server, which grows with its estimated capacity.
    ///
    /// The estimated capacity is the listed size, divided by the expected load plus one and by the expected
    /// latency ratio raised to [`LATENCY_EXPONENT`]. The weight is the estimated capacity raised to
    /// [`CAPACITY_EXPONENT`], and multiplied by [`SUSPECTED_WEIGHT_FACTOR`] for a suspected server.
    fn capacity_weight(&self, server: &ServerState) -> f64 {
        let context = self.context;
        let size = listed_size(context.settings, server);
        let mean_load = context.load_reports.mean_load();
        let load = server.reported_load.expected(context.now, REPORT_DECAY_MS, mean_load);
        let ratio = context.latency.expected_ratio(server.endpoint.machine_kind, &server.latency);
        let is_suspected = context.suspicion.is_suspected(context.now, server);
        let suspicion_factor = if is_suspected { SUSPECTED_WEIGHT_FACTOR } else { 1.0 };
        suspicion_factor
            * (size / (1.0 + load) / ratio.value().powi(LATENCY_EXPONENT)).powf(CAPACITY_EXPONENT)
    }
}

/// Returns the number of own requests at the server, including the one to be sent.
///
/// The number is zero for an ejected server. Such a server is a candidate only if a probe is due, and it
/// would never be selected for the probe with its actual load.
fn own_requests(server: &ServerState) -> f64 {
    if server.health.is_ejected() {
        return 0.0;
    }
    f64::from(server.in_flight) + 1.0
}

/// Returns the factor on the load of a server for the cost of crossing zones: 1 in the local zone.
fn zone_factor(settings: &Settings, server: &ServerState) -> f64 {
    if server.endpoint.zone == settings.local_zone {
        return 1.0;
    }
    let factor = 1.0 + PERCENT_FACTOR * FACTOR_INCREASE_PER_PERCENT * settings.costs.cross_zone;
    factor.clamp(1.0, MAX_CROSS_ZONE_FACTOR)
}

/// Returns the factor on the tie-break weight of a server with an open connection, for the handshake that the
/// connection avoids.
fn open_connection_factor(settings: &Settings) -> f64 {
    let handshake_cost = settings.costs.handshake + HANDSHAKE_WORK_FRACTION * settings.costs.wasted_work;
    1.0 + PERCENT_FACTOR * FACTOR_INCREASE_PER_PERCENT * handshake_cost
}

/// Returns the size of a server according to the endpoint list; 1 if the list gives no valid size.
fn listed_size(settings: &Settings, server: &ServerState) -> f64 {
    let weight = server.endpoint.weight;
    let has_size = settings.endpoint_weights == EndpointWeights::Size;
    if has_size && weight.is_finite() && weight > 0.0 {
        weight
    } else {
        1.0
    }
}
