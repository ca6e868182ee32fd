//! Load reports, and the polls of candidates for their load.

use super::Balancer;
use crate::policy::fleet::ServerIndex;
use crate::policy::server_load::LoadPoll;
use crate::{Action, LoadReport, RequestId, TimerId};

impl Balancer {
    pub(super) fn record_load_report(&mut self, index: ServerIndex, report: &LoadReport) {
        let server = &mut self.fleet[index].reported_load;
        self.load_reports.record(&self.settings, server, report, self.now);
    }

    /// Polls the candidates of a request; the choice waits until all have answered, for a small part of the
    /// objective.
    pub(super) fn poll_loads(&mut self, id: RequestId, candidates: Vec<ServerIndex>) {
        let active = &self.requests[&id];
        let objective = self.settings.class(active.class()).latency_objective;
        let poll = self.load_polling.start(id, candidates, self.now, objective, active.deadline);
        for &candidate in poll.candidates() {
            let server = self.fleet[candidate].endpoint.server;
            self.actions.push(Action::CheckHealth { server });
        }
        self.actions.push(Action::SetTimer { at: poll.answer_by(), timer: TimerId::LoadPollTimeout });
    }

    /// Sends the requests whose candidates have all reported, or have been waited for long enough.
    pub(super) fn finish_polls(&mut self) {
        for poll in self.load_polling.take_finished(self.now, &self.fleet) {
            self.finish_poll(&poll);
        }
    }

    /// Sends a request to the lightest of the candidates that have reported, or of all if none has.
    fn finish_poll(&mut self, poll: &LoadPoll) {
        let mut candidates = poll.best_candidates(&self.fleet);
        let choice = self.server_choice();
        let Some(request) = choice.describe(poll.request()) else { return };
        candidates.retain(|&server| choice.is_open(server, &request));
        if !self.send_to_lightest(&request, &candidates) {
            self.enqueue(poll.request());
        }
    }
}
