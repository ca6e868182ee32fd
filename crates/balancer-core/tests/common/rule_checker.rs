//! Checks that a balancer keeps its four rules, without knowing how it decides: one final answer in time, no
//! duplicate effect, nothing sent to draining servers, and slow start.

use super::effect_rule::{may_reject, AllowedTargets};
use super::observed_fleet::ObservedFleet;
use super::observed_request::{ObservedAttempt, ObservedRequest};
use super::rule::{Rule, Violation};
use super::slow_start_checker::SlowStartChecker;
use balancer_core::{Action, Effect, Endpoint, EndpointUpdate, Event, RequestId, ServerId, Settings, Time};
use std::collections::BTreeMap;

/// An action that sends an attempt.
struct SentAttempt {
    request: RequestId,
    server: ServerId,
    timeout_at: Time,
}

/// Observes events and actions and records every violation of a rule.
pub struct RuleChecker {
    pub violations: Vec<Violation>,
    settings: Settings,
    requests: BTreeMap<RequestId, ObservedRequest>,
    fleet: ObservedFleet,
    slow_start: SlowStartChecker,
}

impl RuleChecker {
    pub fn new(settings: &Settings) -> Self {
        RuleChecker {
            violations: Vec::new(),
            settings: settings.clone(),
            requests: BTreeMap::new(),
            fleet: ObservedFleet::default(),
            slow_start: SlowStartChecker::new(settings),
        }
    }

    /// Records an event, before the balancer handles it.
    pub fn observe_event(&mut self, now: Time, event: &Event) {
        match event {
            Event::Request(request) => {
                self.requests.entry(request.id).or_insert_with(|| ObservedRequest::new(now, request));
            }
            Event::AttemptEnded { request, attempt, outcome, is_request_finished, .. } => {
                if let Some(request) = self.requests.get_mut(request) {
                    request.end_attempt(attempt.0 as usize, *outcome, *is_request_finished);
                }
            }
            Event::FirstByte { request, .. } => {
                if let Some(request) = self.requests.get_mut(request) {
                    request.is_streaming = true;
                }
            }
            Event::ClientDisconnected { request } => {
                if let Some(request) = self.requests.get_mut(request) {
                    request.is_finished = true;
                }
            }
            Event::Endpoints(update) => self.update_endpoints(now, update),
            _ => {}
        }
    }

    fn update_endpoints(&mut self, now: Time, update: &EndpointUpdate) {
        for server in self.fleet.update(now, update) {
            self.slow_start.forget(server);
        }
    }

    /// Checks an action against the rules.
    pub fn check_action(&mut self, now: Time, action: &Action) {
        match *action {
            Action::Send { request, server, timeout_at, .. } => {
                self.check_send(now, &SentAttempt { request, server, timeout_at });
            }
            Action::Reject { request, .. } => {
                self.check_rejection(now, request);
                self.check_end(now, request);
            }
            Action::Fail { request } => self.check_end(now, request),
            _ => {}
        }
    }

    fn report(&mut self, at: Time, rule: Rule, details: String) {
        self.violations.push(Violation { at, rule, details });
    }

    fn check_send(&mut self, now: Time, sent: &SentAttempt) {
        let Some(endpoint) = self.fleet.get(sent.server).cloned() else {
            self.report(now, Rule::KnownServer, format!("sent to {:?}", sent.server));
            return;
        };
        let Some(request) = self.requests.get(&sent.request) else {
            self.report(now, Rule::KnownRequest, format!("sent {:?}", sent.request));
            return;
        };
        for rule in self.rules_violated_by(now, sent, request, &endpoint) {
            self.report(now, rule, format!("{:?} sent to {:?}", sent.request, sent.server));
        }
        self.record_attempt(now, sent.request, &endpoint);
        self.check_slow_start(now, sent.request, &endpoint);
    }

    fn rules_violated_by(
        &self,
        now: Time,
        sent: &SentAttempt,
        request: &ObservedRequest,
        endpoint: &Endpoint,
    ) -> Vec<Rule> {
        let has_max_attempts = request.attempts.len() >= self.settings.max_attempts as usize;
        let is_concurrent = request.has_attempt_in_flight() && !self.settings.allows_hedging;
        let is_past_deadline = now > request.deadline || sent.timeout_at > request.deadline;
        let targets = AllowedTargets::of(request, self.effect_of(request), now);
        let is_draining = self.fleet.has_drained_for(sent.server, self.settings.drain_grace, now);
        let checks = [
            (request.is_finished, Rule::NoSendAfterTheEnd),
            (request.is_streaming, Rule::NoSendWhileStreaming),
            (has_max_attempts, Rule::MaxAttempts),
            (is_concurrent, Rule::NoHedgingUnlessAllowed),
            (is_past_deadline, Rule::NoSendPastTheDeadline),
            (targets == AllowedTargets::None, Rule::NoRetryAfterItMayHaveRun),
            (targets.is_outside_scope(endpoint), Rule::RetryWithinDeduplicationScope),
            (is_draining, Rule::NoSendToDrainingServer),
        ];
        checks.into_iter().filter_map(|(is_violated, rule)| is_violated.then_some(rule)).collect()
    }

    fn effect_of(&self, request: &ObservedRequest) -> Effect {
        self.settings.classes[request.class].effect
    }

    fn record_attempt(&mut self, now: Time, request: RequestId, endpoint: &Endpoint) {
        let attempt =
            ObservedAttempt { sent_at: now, zone: endpoint.zone, cell: endpoint.cell, outcome: None };
        self.requests.get_mut(&request).expect("the request is known").attempts.push(attempt);
    }

    fn check_slow_start(&mut self, now: Time, request: RequestId, endpoint: &Endpoint) {
        let work = self.requests[&request].work;
        if let Some(overload) = self.slow_start.record(now, endpoint, work, &self.fleet) {
            let details = format!(
                "{:?}: {} where a warm one has {:.1}",
                endpoint.server, overload.sent_work, overload.warm_average
            );
            self.report(now, Rule::SlowStart, details);
        }
    }

    fn check_rejection(&mut self, now: Time, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        if !may_reject(request, self.effect_of(request)) {
            self.report(now, Rule::NoRejectionAfterItMayHaveRun, format!("{id:?}"));
        }
    }

    fn check_end(&mut self, now: Time, request: RequestId) {
        let violated = match self.requests.get_mut(&request) {
            None => Some(Rule::KnownRequest),
            Some(observed) if observed.is_finished => Some(Rule::OneEnd),
            Some(observed) => {
                observed.is_finished = true;
                observed.is_overdue(now).then_some(Rule::EndInTime)
            }
        };
        if let Some(rule) = violated {
            self.report(now, rule, format!("{request:?} ended"));
        }
    }

    /// The number of requests whose final answer is overdue.
    pub fn lost_request_count(&self, now: Time) -> usize {
        self.requests.values().filter(|request| request.is_lost(now)).count()
    }
}
