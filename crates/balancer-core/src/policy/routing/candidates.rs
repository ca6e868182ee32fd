//! The candidates for a request: servers drawn uniformly at random, and remembered servers.

use super::context::RoutingContext;
use super::memory::ServerMemory;
use super::request::RoutingRequest;
use super::sample::{SampleSize, MAX_CANDIDATES};
use crate::policy::fleet::{FleetView, ServerIndex};
use fastrand::Rng;

/// Maximum number of random draws for a request, as a multiple of [`SampleSize::draws`].
///
/// A drawn server that is not eligible is discarded (rejection sampling). The limit keeps the cost of the
/// draws independent of the size of the fleet.
const MAX_TRIES_PER_DRAW: usize = 4;

/// A search for the candidates for one request.
pub struct CandidateSearch<'a> {
    /// The state of the balancer.
    pub context: &'a RoutingContext<'a>,
    /// The remembered servers.
    pub memory: &'a ServerMemory,
    /// The request to be sent.
    pub request: &'a RoutingRequest,
    /// The sample size, which determines how many servers are drawn.
    pub sample_size: SampleSize,
}

impl CandidateSearch<'_> {
    /// Returns servers drawn uniformly from the eligible ones, followed by the eligible remembered servers.
    ///
    /// If no candidate is found in this way, all serving servers are examined. Servers that the request has
    /// tried before are then used only if no other server is eligible.
    pub fn find(&self, rng: &mut Rng) -> Vec<ServerIndex> {
        let mut candidates = Vec::with_capacity(MAX_CANDIDATES + 1);
        self.add_random(&mut candidates, rng);
        self.add_remembered(&mut candidates, rng);
        if candidates.is_empty() {
            self.add_from_all_eligible(&mut candidates, rng);
        }
        candidates
    }

    /// Adds servers drawn uniformly at random that are eligible and were not tried before.
    fn add_random(&self, candidates: &mut Vec<ServerIndex>, rng: &mut Rng) {
        let serving = self.context.fleet.serving();
        for _ in 0..MAX_TRIES_PER_DRAW * self.sample_size.draws {
            if candidates.len() >= self.sample_size.draws || serving.is_empty() {
                return;
            }
            let server = serving[rng.usize(0..serving.len())];
            let is_eligible = self.context.is_eligible_and_untried(server, self.request);
            if is_eligible && self.passes_slow_start(server, rng) {
                candidates.push(server);
            }
        }
    }

    /// Adds the remembered servers, and the last server of the routing key, that are eligible and were not
    /// tried before.
    fn add_remembered(&self, candidates: &mut Vec<ServerIndex>, rng: &mut Rng) {
        let remembered = self.memory.servers().iter().copied();
        for server in remembered.chain(self.request.key_server) {
            if !self.context.is_eligible_and_untried(server, self.request) {
                continue;
            }
            // A remembered server passed slow start when it was first selected. With a second check, it would
            // be sent requests in proportion to the square of its capacity share. While candidates are
            // polled, remembered servers are checked too.
            let has_passed = self.memory.contains(server) && !self.context.load_polling.is_enabled();
            if has_passed || self.passes_slow_start(server, rng) {
                candidates.push(server);
            }
        }
    }

    /// Examines all serving servers and adds random ones from those that are eligible.
    fn add_from_all_eligible(&self, candidates: &mut Vec<ServerIndex>, rng: &mut Rng) {
        let serving = self.context.fleet.serving().iter().copied();
        let eligible = serving.filter(|&server| self.context.is_eligible(server, self.request));
        let (tried, untried): (Vec<_>, Vec<_>) = eligible.partition(|&server| self.request.has_tried(server));
        let pool = if untried.is_empty() { tried } else { untried };
        for _ in 0..self.sample_size.draws.min(pool.len()) {
            candidates.push(pool[rng.usize(0..pool.len())]);
        }
    }

    /// Returns whether slow start admits a server as a candidate.
    ///
    /// In a dense view the result is always `true`, because slow start limits the work that a server is sent
    /// and not how often the server is a candidate.
    fn passes_slow_start(&self, server: ServerIndex, rng: &mut Rng) -> bool {
        match self.context.view() {
            FleetView::Dense => true,
            FleetView::Sparse => {
                let share = self.context.capacity_share(&self.context.fleet[server]);
                self.context.slow_start.admits_candidate(
                    self.context.settings,
                    share,
                    self.idle_selection_factor(),
                    rng,
                )
            }
        }
    }

    /// Returns the factor by which an idle server is selected more often than an average candidate.
    ///
    /// If candidates are polled, their loads are known, and an idle server is selected instead of all other
    /// candidates. Otherwise chance decides between the candidates, and the factor is 1.
    fn idle_selection_factor(&self) -> usize {
        if self.context.load_polling.is_enabled() {
            MAX_CANDIDATES
        } else {
            1
        }
    }
}
