//! Polls of candidates for their load, by health checks, before one of them is selected.

use super::load_reports::is_load_field;
use crate::policy::fleet::{FleetView, ServerIndex, ServerRegistry};
use crate::policy::routing::MAX_CANDIDATES;
use crate::{LoadReportSource, RequestId, Settings, Span, Time};

/// Upper bound of the cost of polling the candidates of a request, as a fraction of the request's value.
/// Polling is disabled if it would cost more.
const MAX_POLL_COST_FRACTION: f64 = 0.01;
/// Upper bound of the duration of a poll, as a fraction of the request's latency objective.
const MAX_POLL_TIME_FRACTION: f64 = 0.05;

/// A request whose candidates are being polled for their load.
pub struct LoadPoll {
    /// The request that waits for the poll to end.
    request: RequestId,
    /// The servers that are polled, each once.
    candidates: Vec<ServerIndex>,
    /// When the poll was started.
    started_at: Time,
    /// When the poll ends, even if not all candidates have reported.
    deadline: Time,
}

impl LoadPoll {
    /// Returns the request that waits for the poll to end.
    pub fn request(&self) -> RequestId {
        self.request
    }

    /// Returns the servers that are polled, each once.
    pub fn candidates(&self) -> &[ServerIndex] {
        &self.candidates
    }

    /// Returns when the poll ends, even if not all candidates have reported.
    pub fn deadline(&self) -> Time {
        self.deadline
    }

    /// Returns the candidates that have reported since the poll started, or all candidates if none has.
    pub fn usable_candidates(&self, fleet: &ServerRegistry) -> Vec<ServerIndex> {
        let reported: Vec<ServerIndex> =
            self.candidates.iter().copied().filter(|&server| self.has_reported(fleet, server)).collect();
        if reported.is_empty() {
            return self.candidates.clone();
        }
        reported
    }

    /// Returns whether all candidates have reported or the deadline of the poll has passed.
    fn is_finished(&self, now: Time, fleet: &ServerRegistry) -> bool {
        now >= self.deadline || self.candidates.iter().all(|&server| self.has_reported(fleet, server))
    }

    /// Returns whether a candidate has reported its load since the poll started.
    fn has_reported(&self, fleet: &ServerRegistry, candidate: ServerIndex) -> bool {
        fleet[candidate].reported_load.has_report_since(self.started_at)
    }
}

/// The unfinished polls, and whether candidates are polled at all.
#[derive(Default)]
pub struct LoadPolling {
    /// Whether candidates are polled before one of them is selected.
    is_enabled: bool,
    /// The unfinished polls, in the order in which they were started.
    polls: Vec<LoadPoll>,
}

impl LoadPolling {
    /// Enables or disables polling after a change of the view.
    ///
    /// Candidates are polled only in a sparse view, where the balancer's own requests in flight say little
    /// about a server's load. In addition, health checks must be allowed, must be cheap, and must be the only
    /// source of load reports.
    pub fn set_view(&mut self, view: FleetView, settings: &Settings) {
        self.is_enabled = match view {
            FleetView::Dense => false,
            FleetView::Sparse => is_polling_worthwhile(settings),
        };
    }

    /// Returns whether candidates are polled before one of them is selected.
    pub fn is_enabled(&self) -> bool {
        self.is_enabled
    }

    /// Starts a poll of the candidates for a request with the given latency objective and deadline.
    pub fn start(
        &mut self,
        request: RequestId,
        mut candidates: Vec<ServerIndex>,
        now: Time,
        objective: Span,
        request_deadline: Time,
    ) -> &LoadPoll {
        candidates.sort_unstable();
        candidates.dedup();
        let deadline = (now + objective * MAX_POLL_TIME_FRACTION).min(request_deadline);
        self.polls.push(LoadPoll { request, candidates, started_at: now, deadline });
        &self.polls[self.polls.len() - 1]
    }

    /// Removes and returns the polls that are finished: all candidates have reported, or the deadline of the
    /// poll has passed.
    pub fn take_finished(&mut self, now: Time, fleet: &ServerRegistry) -> Vec<LoadPoll> {
        let polls = std::mem::take(&mut self.polls);
        let (finished, unfinished) = polls.into_iter().partition(|poll| poll.is_finished(now, fleet));
        self.polls = unfinished;
        finished
    }

    /// Returns the servers that unfinished polls refer to.
    pub fn polled_servers(&self) -> impl Iterator<Item = ServerIndex> + '_ {
        self.polls.iter().flat_map(|poll| poll.candidates.iter().copied())
    }
}

/// Returns whether health checks are allowed, are the only source of load reports, return a load, and are
/// cheap enough to poll all candidates of a request.
fn is_polling_worthwhile(settings: &Settings) -> bool {
    settings.allows_health_checks
        && settings.load_report_source == LoadReportSource::HealthChecks
        && settings.load_report_fields.iter().any(|&field| is_load_field(field))
        && settings.costs.health_check * MAX_CANDIDATES as f64 <= MAX_POLL_COST_FRACTION
}
