//! Load reports, and polling candidates for their load before one is chosen.

use super::routing::MAX_CANDIDATES;
use crate::state::{update_recent_average, LoadPoll, ReportedLoad, ServerIndex};
use crate::{Action, Balancer, LoadReport, LoadReportField, LoadReportSource, RequestId, TimerId};

/// Candidates are polled where that costs a request this much at most, for this share of its objective.
const MAX_POLL_COST: f64 = 0.01;
const POLL_TIME_SHARE: f64 = 0.05;
/// Reported loads from this value on are not plausible.
const MAX_LOAD: f64 = 1e4;

impl Balancer {
    /// Takes in a load report. Other values are ignored: a negative load must not make a server look empty.
    pub(crate) fn read_load_report(&mut self, server: ServerIndex, report: &LoadReport) {
        let fields = &self.settings.load_report_fields;
        let position = |field| fields.iter().position(|known| *known == field);
        let position = position(LoadReportField::InFlight).or(position(LoadReportField::QueueLength));
        let load = position.and_then(|position| report.values().get(position));
        let Some(&load) = load.filter(|load| (0.0..MAX_LOAD).contains(*load)) else { return };
        self.registry[server].reported_load = ReportedLoad::new(load, self.now);
        update_recent_average(&mut self.mean_reported_load, load);
    }

    /// Whether candidates are polled for their load first: where own counts say little, and load reports come
    /// with health checks only, contain a load and cost next to nothing.
    pub(crate) fn polls_loads(&self) -> bool {
        let settings = &self.settings;
        let is_load = |field| matches!(field, &LoadReportField::InFlight | &LoadReportField::QueueLength);
        settings.allows_health_checks
            && settings.load_report_source == LoadReportSource::HealthChecks
            && settings.load_report_fields.iter().any(is_load)
            && settings.costs.health_check * MAX_CANDIDATES as f64 <= MAX_POLL_COST
            && self.is_sparse()
    }

    /// Polls the candidates; the choice waits until all have answered, for a small part of the objective.
    pub(crate) fn poll_loads(&mut self, request: RequestId, mut candidates: Vec<ServerIndex>) {
        candidates.sort_unstable();
        candidates.dedup();
        let active = &self.requests[&request];
        let objective = self.settings.classes[active.class()].latency_objective;
        let answer_by = (self.now + objective * POLL_TIME_SHARE).min(active.deadline);
        for &candidate in &candidates {
            let server = self.registry[candidate].endpoint.server;
            self.actions.push(Action::CheckHealth { server });
        }
        self.actions.push(Action::SetTimer { at: answer_by, timer: TimerId::LoadPollTimeout });
        self.load_polls.push(LoadPoll { request, candidates, started_at: self.now, answer_by });
    }

    /// Sends the requests whose candidates have all reported, or have been waited for long enough.
    pub(crate) fn finish_polls(&mut self) {
        let polls = std::mem::take(&mut self.load_polls);
        let has_all = |poll: &LoadPoll| poll.candidates.iter().all(|&server| self.has_reported(poll, server));
        let is_finished = |poll: &LoadPoll| self.now >= poll.answer_by || has_all(poll);
        let (finished, waiting) = polls.into_iter().partition::<Vec<_>, _>(is_finished);
        self.load_polls = waiting;
        for poll in finished {
            self.finish_poll(&poll);
        }
    }

    /// Sends a request to the lightest of the candidates that have reported, or of all if none has.
    fn finish_poll(&mut self, poll: &LoadPoll) {
        let Some(active) = self.requests.get(&poll.request) else { return };
        let routing = self.routing_request(active);
        let has_any_reported = poll.candidates.iter().any(|&server| self.has_reported(poll, server));
        let is_usable = |&server: &ServerIndex| {
            (!has_any_reported || self.has_reported(poll, server)) && self.is_open(server, &routing)
        };
        let candidates: Vec<ServerIndex> = poll.candidates.iter().copied().filter(is_usable).collect();
        if !self.send_to_lightest(&routing, &candidates) {
            self.enqueue(poll.request);
        }
    }

    fn has_reported(&self, poll: &LoadPoll, candidate: ServerIndex) -> bool {
        self.registry[candidate].reported_load.is_reported_since(poll.started_at)
    }
}
