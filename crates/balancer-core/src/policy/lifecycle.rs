//! The life of a request: accepted, sent or queued, retried, and given its one final answer.

use super::retry::{AttemptPermission, RetryScope};
use crate::state::{ActiveRequest, AttemptState, EndedAttempt, ShedOrder};
use crate::{Action, Balancer, Outcome, Request, RequestId};

impl Balancer {
    /// Takes in a request: sends, queues or finishes it.
    pub(crate) fn accept(&mut self, request: Request) {
        let id = request.id;
        if request.class.0 >= self.settings.classes.len() {
            return self.actions.push(Action::Reject { request: id, retry_after: None });
        }
        if self.requests.contains_key(&id) {
            return;
        }
        let active = self.activate(request);
        let class_order = self.class_order[active.class()];
        let order = if active.is_over_share { ShedOrder::First } else { class_order };
        let is_too_late = self.cannot_be_in_time(&active);
        self.requests.insert(id, active);
        self.earn_gossip();
        self.earn_retry();
        if is_too_late || !self.admits(order) {
            self.finish(id);
        } else if !self.dispatch(id) {
            self.enqueue(id);
        }
    }

    /// The record of a request that has just arrived.
    fn activate(&mut self, request: Request) -> ActiveRequest {
        let deadline = self.now + request.time_left;
        let objective_deadline = self.now + self.objective_left(request.class.0, request.time_left);
        self.traffic.count(self.now, &request);
        let is_over_share = self.is_over_share(&request);
        ActiveRequest {
            request,
            deadline,
            objective_deadline: objective_deadline.min(deadline),
            attempts: Vec::new(),
            is_bound_to_stream: false,
            is_over_share,
        }
    }

    /// Takes in the end of an attempt: learns from it, and retries or finishes its request if that needs it.
    pub(crate) fn end_attempt(&mut self, ended: &EndedAttempt) {
        let Some(attempt) = self.in_flight.remove(&ended.key) else { return };
        self.registry[attempt.server].in_flight -= 1;
        if let Some(report) = &ended.load_report {
            self.read_load_report(attempt.server, report);
        }
        self.learn(&attempt, ended);
        self.release_connections(attempt.server);
        let request = ended.key.request;
        if ended.is_request_finished {
            self.requests.remove(&request);
        } else if let Some(active) = self.requests.get_mut(&request) {
            let has_not_run = ended.outcome.proves_not_run();
            let state = if has_not_run { AttemptState::DidNotRun } else { AttemptState::MayHaveRun };
            active.attempts[ended.key.attempt.0 as usize].state = state;
            self.retry_or_finish(request, ended.outcome);
        }
        self.drain_queue();
    }

    /// Decides what follows a failed attempt of a request that is not answered yet.
    fn retry_or_finish(&mut self, id: RequestId, outcome: Outcome) {
        let active = &self.requests[&id];
        if active.has_attempt_in_flight() {
            return;
        }
        let is_free = outcome.proves_not_run();
        let is_permitted =
            AttemptPermission::of(&self.settings, active, self.now).scope != RetryScope::Nowhere;
        let is_paid = is_free || self.can_pay_retry();
        if !is_permitted || !is_paid || self.cannot_be_in_time(active) {
            return self.finish(id);
        }
        if !is_free {
            self.pay_retry();
        }
        if !self.dispatch(id) {
            self.enqueue(id);
        }
    }

    /// Gives the final answer: a rejection if that promise holds, else a failure.
    pub(crate) fn finish(&mut self, id: RequestId) {
        let Some(active) = self.requests.remove(&id) else { return };
        if AttemptPermission::of(&self.settings, &active, self.now).may_reject {
            let retry_after = self.retry_after(active.class());
            self.actions.push(Action::Reject { request: id, retry_after });
        } else {
            self.actions.push(Action::Fail { request: id });
        }
    }
}
