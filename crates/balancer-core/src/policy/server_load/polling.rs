//! Polling candidates for their load before one of them is chosen.

use super::load_reports::is_load;
use crate::policy::fleet::{FleetView, ServerIndex, ServerRegistry};
use crate::policy::routing::MAX_CANDIDATES;
use crate::{LoadReportSource, RequestId, Settings, Span, Time};

/// Candidates are polled where that costs a request this much at most.
const MAX_POLL_COST: f64 = 0.01;
/// The choice waits for answers for this share of the request's latency objective at most.
const POLL_TIME_SHARE: f64 = 0.05;

/// A request whose candidates are being polled for their load.
pub struct LoadPoll {
    request: RequestId,
    candidates: Vec<ServerIndex>,
    started_at: Time,
    /// The choice waits no longer than this.
    answer_by: Time,
}

impl LoadPoll {
    /// The request.
    pub fn request(&self) -> RequestId {
        self.request
    }

    /// The servers that are polled, each once.
    pub fn candidates(&self) -> &[ServerIndex] {
        &self.candidates
    }

    /// When the poll ends at the latest.
    pub fn answer_by(&self) -> Time {
        self.answer_by
    }

    /// The candidates that have reported since the poll began, or all of them if none has.
    pub fn best_candidates(&self, fleet: &ServerRegistry) -> Vec<ServerIndex> {
        let reported: Vec<ServerIndex> =
            self.candidates.iter().copied().filter(|&server| self.has_reported(fleet, server)).collect();
        if reported.is_empty() {
            return self.candidates.clone();
        }
        reported
    }

    fn is_finished(&self, now: Time, fleet: &ServerRegistry) -> bool {
        now >= self.answer_by || self.candidates.iter().all(|&server| self.has_reported(fleet, server))
    }

    fn has_reported(&self, fleet: &ServerRegistry, candidate: ServerIndex) -> bool {
        fleet[candidate].reported_load.is_reported_since(self.started_at)
    }
}

/// The open polls, and whether candidates are polled at all.
#[derive(Default)]
pub struct LoadPolling {
    is_enabled: bool,
    polls: Vec<LoadPoll>,
}

impl LoadPolling {
    /// Follows a change of the view. Candidates are polled where own counts say little, and load reports come
    /// with health checks only, contain a load and cost next to nothing.
    pub fn set_view(&mut self, view: FleetView, settings: &Settings) {
        self.is_enabled = match view {
            FleetView::Dense => false,
            FleetView::Sparse => is_worth_its_cost(settings),
        };
    }

    /// Whether candidates are polled before one of them is chosen.
    pub fn is_enabled(&self) -> bool {
        self.is_enabled
    }

    /// Opens a poll of the candidates of a request, whose class has this objective and whose client waits
    /// until `deadline`.
    pub fn start(
        &mut self,
        request: RequestId,
        mut candidates: Vec<ServerIndex>,
        now: Time,
        objective: Span,
        deadline: Time,
    ) -> &LoadPoll {
        candidates.sort_unstable();
        candidates.dedup();
        let answer_by = (now + objective * POLL_TIME_SHARE).min(deadline);
        self.polls.push(LoadPoll { request, candidates, started_at: now, answer_by });
        &self.polls[self.polls.len() - 1]
    }

    /// Closes the polls that all candidates have answered or whose time is over, and returns them.
    pub fn take_finished(&mut self, now: Time, fleet: &ServerRegistry) -> Vec<LoadPoll> {
        let polls = std::mem::take(&mut self.polls);
        let (finished, open) = polls.into_iter().partition(|poll| poll.is_finished(now, fleet));
        self.polls = open;
        finished
    }

    /// The servers that open polls refer to.
    pub fn polled_servers(&self) -> impl Iterator<Item = ServerIndex> + '_ {
        self.polls.iter().flat_map(|poll| poll.candidates.iter().copied())
    }
}

fn is_worth_its_cost(settings: &Settings) -> bool {
    settings.allows_health_checks
        && settings.load_report_source == LoadReportSource::HealthChecks
        && settings.load_report_fields.iter().any(|&field| is_load(field))
        && settings.costs.health_check * MAX_CANDIDATES as f64 <= MAX_POLL_COST
}
