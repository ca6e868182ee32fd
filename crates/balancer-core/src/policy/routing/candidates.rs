//! The candidates of a choice: fresh uniform draws and remembered servers.

use super::context::RoutingContext;
use super::memory::ServerMemory;
use super::request::RoutingRequest;
use super::sample::{SampleSize, MAX_CANDIDATES};
use crate::policy::fleet::{FleetView, ServerIndex};
use fastrand::Rng;

/// Servers are drawn by rejection, with so many tries for each, so that a choice costs the same in a large
/// fleet.
const TRIES_PER_DRAW: usize = 4;

/// Collects the candidates of one choice.
pub struct CandidateSearch<'a> {
    pub context: &'a RoutingContext<'a>,
    pub memory: &'a ServerMemory,
    pub request: &'a RoutingRequest,
    pub sample: SampleSize,
}

impl CandidateSearch<'_> {
    /// Fresh uniform draws from the servers that are open to the request, and the remembered ones that are.
    /// Only if there are none is each server looked at; those that were tried before come last.
    pub fn find(&self, rng: &mut Rng) -> Vec<ServerIndex> {
        let mut candidates = Vec::with_capacity(MAX_CANDIDATES + 1);
        self.draw(&mut candidates, rng);
        self.add_remembered(&mut candidates, rng);
        if candidates.is_empty() {
            self.draw_from_all(&mut candidates, rng);
        }
        candidates
    }

    fn draw(&self, candidates: &mut Vec<ServerIndex>, rng: &mut Rng) {
        let serving = self.context.fleet.serving();
        for _ in 0..TRIES_PER_DRAW * self.sample.draws {
            if candidates.len() >= self.sample.draws || serving.is_empty() {
                return;
            }
            let server = serving[rng.usize(0..serving.len())];
            let is_open = self.context.is_open_and_untried(server, self.request);
            if is_open && self.passes_slow_start(server, rng) {
                candidates.push(server);
            }
        }
    }

    fn add_remembered(&self, candidates: &mut Vec<ServerIndex>, rng: &mut Rng) {
        let remembered = self.memory.servers().iter().copied();
        for server in remembered.chain(self.request.key_server) {
            if !self.context.is_open_and_untried(server, self.request) {
                continue;
            }
            // It passed slow start to be remembered; checked again, it would get the square of its share.
            // While candidates are polled all of them are checked.
            let has_passed = self.memory.contains(server) && !self.context.load_polling.is_enabled();
            if has_passed || self.passes_slow_start(server, rng) {
                candidates.push(server);
            }
        }
    }

    fn draw_from_all(&self, candidates: &mut Vec<ServerIndex>, rng: &mut Rng) {
        let serving = self.context.fleet.serving().iter().copied();
        let open = serving.filter(|&server| self.context.is_open(server, self.request));
        let (tried, untried): (Vec<_>, Vec<_>) = open.partition(|&server| self.request.has_tried(server));
        let pool = if untried.is_empty() { tried } else { untried };
        for _ in 0..self.sample.draws.min(pool.len()) {
            candidates.push(pool[rng.usize(0..pool.len())]);
        }
    }

    /// In a dense view slow start limits the work that a server is sent, and not how often it is a candidate.
    fn passes_slow_start(&self, server: ServerIndex, rng: &mut Rng) -> bool {
        match self.context.view() {
            FleetView::Dense => true,
            FleetView::Sparse => {
                let share = self.context.capacity_share(&self.context.fleet[server]);
                self.context.slow_start.admits_candidate(
                    self.context.settings,
                    share,
                    self.competitors(),
                    rng,
                )
            }
        }
    }

    /// The candidates that an empty server wins over: all of them where their loads are known, else only
    /// chance decides.
    fn competitors(&self) -> usize {
        if self.context.load_polling.is_enabled() {
            MAX_CANDIDATES
        } else {
            1
        }
    }
}
