//! The life cycle of a request: its arrival, sending or queueing, retries, and its one final response.

use super::Balancer;
use crate::policy::deadline::retry_after;
use crate::policy::requests::{ActiveRequest, AttemptState, EndedAttempt};
use crate::policy::retry::{may_retry, AttemptPermission};
use crate::policy::wait_queue::QueueFull;
use crate::{Action, AttemptNumber, Outcome, Request, RequestId};

impl Balancer {
    /// Sends or queues a new request, or finishes it unserved if a response would come too late or if the
    /// request is shed.
    ///
    /// A request of an unknown class is rejected. A request with the id of an active request is ignored.
    pub(super) fn handle_request(&mut self, request: Request) {
        let id = request.id;
        if !self.settings.has_class(request.class) {
            self.actions.push(Action::Reject { request: id, retry_after: None });
            return;
        }
        if self.requests.contains_key(&id) {
            return;
        }
        let active = self.create_active_request(request);
        let shed_order = self.shedder.shed_order(&active);
        let is_too_late = self.timeliness().is_too_late(&active);
        self.requests.insert(id, active);
        self.suspicion.refill_gossip_budget();
        self.retry_budget.refill();
        if is_too_late || !self.admission.admits(shed_order, &self.shedder, &mut self.rng) {
            self.finish_unserved(id);
            return;
        }
        self.send_or_enqueue(id);
    }

    /// Creates the record of a request that has just arrived, and counts the request as traffic.
    fn create_active_request(&mut self, request: Request) -> ActiveRequest {
        let deadline = self.now + request.time_left;
        let objective_left = self.objectives.objective_left(&self.settings, &request);
        self.shedder.count(self.now, &request);
        let is_over_share = self.shedder.is_over_share(&self.settings, &request, &mut self.rng);
        ActiveRequest {
            request,
            deadline,
            objective_deadline: (self.now + objective_left).min(deadline),
            attempts: Vec::new(),
            is_bound_to_stream: false,
            is_over_share,
        }
    }

    /// Binds a request to the attempt whose response has begun to stream. No other attempt can supply the
    /// response from then on.
    pub(super) fn bind_to_stream(&mut self, id: RequestId, attempt: AttemptNumber) {
        if let Some(active) = self.requests.get_mut(&id) {
            active.is_bound_to_stream = (attempt.0 as usize) < active.attempts.len();
        }
    }

    /// Handles the end of an attempt: records it, and retries or finishes the request if the request has no
    /// final response yet.
    pub(super) fn end_attempt(&mut self, ended: &EndedAttempt) {
        let Some(attempt) = self.in_flight.remove(ended.id) else { return };
        self.fleet[attempt.server].in_flight -= 1;
        if let Some(report) = &ended.load_report {
            self.record_load_report(attempt.server, report);
        }
        self.record_attempt_end(&attempt, ended);
        self.close_idle_connections(attempt.server);
        let request = ended.id.request;
        if ended.is_request_finished {
            self.requests.remove(&request);
        } else if let Some(active) = self.requests.get_mut(&request) {
            let has_not_run = ended.outcome.proves_not_run();
            let state = if has_not_run { AttemptState::DidNotRun } else { AttemptState::MayHaveRun };
            active.attempts[ended.id.attempt.0 as usize].state = state;
            self.retry_or_finish(request, ended.outcome);
        }
        self.drain_queue();
    }

    /// Retries a request after its attempt has ended without a final response, or finishes the request
    /// unserved if no retry is possible. Does nothing while another attempt of the request is in flight.
    fn retry_or_finish(&mut self, id: RequestId, outcome: Outcome) {
        let active = &self.requests[&id];
        if active.has_attempt_in_flight() {
            return;
        }
        if !may_retry(active, outcome, &self.retry_budget, &self.timeliness()) {
            self.finish_unserved(id);
            return;
        }
        if !outcome.proves_not_run() {
            self.retry_budget.spend();
        }
        self.send_or_enqueue(id);
    }

    /// Sends a request, or queues it if no server is eligible.
    fn send_or_enqueue(&mut self, id: RequestId) {
        if !self.dispatch(id) {
            self.enqueue(id);
        }
    }

    /// Queues a request, or finishes it unserved if the queue is full.
    pub(super) fn enqueue(&mut self, id: RequestId) {
        match self.queue.push(id) {
            Ok(()) => self.schedule_tick_soon(),
            Err(QueueFull) => self.finish_unserved(id),
        }
    }

    /// Sends the queued requests for which a server is eligible. Requests that have waited too long are
    /// finished unserved instead.
    pub(super) fn drain_queue(&mut self) {
        if self.queue.is_empty() {
            return;
        }
        let mut queued = self.queue.take_by_rank(|id| {
            let active = self.requests.get(&id)?;
            Some((active.is_over_share, self.shedder.class_shed_order(active.class())))
        });
        queued.retain(|&id| self.process_queued(id));
        self.queue.restore(queued);
    }

    /// Sends a queued request, or finishes it unserved if it has waited too long. Returns `true` if the
    /// request must stay in the queue.
    fn process_queued(&mut self, id: RequestId) -> bool {
        let Some(active) = self.requests.get(&id) else { return false };
        if self.timeliness().has_waited_too_long(active) {
            self.finish_unserved(id);
            return false;
        }
        !self.dispatch(id)
    }

    /// Gives a request its final response without serving it.
    ///
    /// Rejects the request if a retry by the client cannot duplicate its effect, and fails it otherwise.
    fn finish_unserved(&mut self, id: RequestId) {
        let Some(active) = self.requests.remove(&id) else { return };
        if AttemptPermission::of(&self.settings, &active, self.now).may_reject {
            let retry_after = retry_after(&self.settings, active.class());
            self.actions.push(Action::Reject { request: id, retry_after });
        } else {
            self.actions.push(Action::Fail { request: id });
        }
    }
}
