//! Load reports: how they are recorded, and how candidates are polled for their load before one of them is
//! selected.

use super::Balancer;
use crate::policy::fleet::ServerIndex;
use crate::policy::server_load::LoadPoll;
use crate::{Action, LoadReport, RequestId, TimerId};

impl Balancer {
    /// Records a load report of a server.
    pub(super) fn record_load_report(&mut self, index: ServerIndex, report: &LoadReport) {
        let server = &mut self.fleet[index].reported_load;
        self.load_reports.record(&self.settings, server, report, self.now);
    }

    /// Polls the candidates of a request for their load. The request waits until all of them have reported,
    /// but no longer than a small fraction of its latency objective.
    pub(super) fn poll_loads(&mut self, id: RequestId, candidates: Vec<ServerIndex>) {
        let active = &self.requests[&id];
        let objective = self.settings.class(active.class()).latency_objective;
        let poll = self.load_polling.start(id, candidates, self.now, objective, active.deadline);
        for &candidate in poll.candidates() {
            let server = self.fleet[candidate].endpoint.server;
            self.actions.push(Action::CheckHealth { server });
        }
        self.actions.push(Action::SetTimer { at: poll.deadline(), timer: TimerId::LoadPollTimeout });
    }

    /// Sends the requests whose polled candidates have all reported, and those whose poll has timed out.
    pub(super) fn finish_polls(&mut self) {
        for poll in self.load_polling.take_finished(self.now, &self.fleet) {
            self.finish_poll(&poll);
        }
    }

    /// Sends a request to the least loaded of the polled candidates that have reported, or of all polled
    /// candidates if none has. Queues the request if none of these candidates is eligible any more.
    fn finish_poll(&mut self, poll: &LoadPoll) {
        let mut candidates = poll.usable_candidates(&self.fleet);
        let selector = self.server_selector();
        let Some(request) = selector.routing_request(poll.request()) else { return };
        candidates.retain(|&server| selector.is_eligible(server, &request));
        if !self.send_to_least_loaded(&request, &candidates) {
            self.enqueue(poll.request());
        }
    }
}
