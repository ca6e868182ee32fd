//! Checks that a balancer's actions violate no [`Rule`], independently of how the balancer decides.
//!
//! The rules require that each request gets one final response in time, that no effect is duplicated, that
//! draining servers are sent nothing after the drain grace, and that servers that are warming up are not
//! overloaded.

use super::effect_rule::{may_reject, AllowedTargets};
use super::observed_fleet::ObservedFleet;
use super::observed_request::{ObservedAttempt, ObservedRequest};
use super::rule::{Rule, Violation};
use super::slow_start_checker::SlowStartChecker;
use balancer_core::{Action, Effect, Endpoint, EndpointUpdate, Event, RequestId, ServerId, Settings, Time};
use std::collections::BTreeMap;

/// The fields of [`Action::Send`] that the rules depend on.
struct SentAttempt {
    request: RequestId,
    server: ServerId,
    timeout_at: Time,
}

/// A checker that observes the events and actions of a balancer and records all violations of rules.
pub struct RuleChecker {
    /// All violations so far.
    pub violations: Vec<Violation>,
    settings: Settings,
    requests: BTreeMap<RequestId, ObservedRequest>,
    fleet: ObservedFleet,
    slow_start: SlowStartChecker,
}

impl RuleChecker {
    /// Creates a checker that has observed no events.
    pub fn new(settings: &Settings) -> Self {
        RuleChecker {
            violations: Vec::new(),
            settings: settings.clone(),
            requests: BTreeMap::new(),
            fleet: ObservedFleet::default(),
            slow_start: SlowStartChecker::new(settings),
        }
    }

    /// Records an event. Call this before the balancer handles the event.
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

    /// Applies an update of the endpoint list.
    fn update_endpoints(&mut self, now: Time, update: &EndpointUpdate) {
        for server in self.fleet.update(now, update) {
            self.slow_start.remove_work_before_restart(server);
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
                self.check_final_response(now, request);
            }
            Action::Fail { request } => self.check_final_response(now, request),
            _ => {}
        }
    }

    /// Records a violation.
    fn record_violation(&mut self, at: Time, rule: Rule, details: String) {
        self.violations.push(Violation { at, rule, details });
    }

    /// Checks an action that sends an attempt, and records the attempt.
    fn check_send(&mut self, now: Time, sent: &SentAttempt) {
        let Some(endpoint) = self.fleet.get(sent.server).cloned() else {
            self.record_violation(now, Rule::KnownServer, format!("sent to {:?}", sent.server));
            return;
        };
        let Some(request) = self.requests.get(&sent.request) else {
            self.record_violation(now, Rule::KnownRequest, format!("sent {:?}", sent.request));
            return;
        };
        for rule in self.find_violated_rules(now, sent, request, &endpoint) {
            self.record_violation(now, rule, format!("{:?} sent to {:?}", sent.request, sent.server));
        }
        self.record_attempt(now, sent.request, &endpoint);
        self.check_slow_start(now, sent.request, &endpoint);
    }

    /// Returns the rules that sending this attempt violates.
    fn find_violated_rules(
        &self,
        now: Time,
        sent: &SentAttempt,
        request: &ObservedRequest,
        endpoint: &Endpoint,
    ) -> Vec<Rule> {
        let has_reached_max_attempts = request.attempts.len() >= self.settings.max_attempts as usize;
        let is_disallowed_hedge = request.has_attempt_in_flight() && !self.settings.allows_hedging;
        let is_past_deadline = now > request.deadline || sent.timeout_at > request.deadline;
        let allowed_targets = AllowedTargets::of(request, self.effect_of(request), now);
        let is_past_drain_grace = self.fleet.is_draining_beyond(sent.server, self.settings.drain_grace, now);
        let checks = [
            (request.is_finished, Rule::NoSendAfterFinalResponse),
            (request.is_streaming, Rule::NoSendWhileStreaming),
            (has_reached_max_attempts, Rule::MaxAttempts),
            (is_disallowed_hedge, Rule::NoHedgingUnlessAllowed),
            (is_past_deadline, Rule::NoSendPastDeadline),
            (allowed_targets == AllowedTargets::None, Rule::NoRetryAfterItMayHaveRun),
            (allowed_targets.is_outside_scope(endpoint), Rule::RetryWithinDeduplicationScope),
            (is_past_drain_grace, Rule::NoSendToDrainingServer),
        ];
        checks.into_iter().filter_map(|(is_violated, rule)| is_violated.then_some(rule)).collect()
    }

    /// Returns the effect of a request's class.
    fn effect_of(&self, request: &ObservedRequest) -> Effect {
        self.settings.classes[request.class].effect
    }

    /// Adds an attempt to its request.
    fn record_attempt(&mut self, now: Time, request: RequestId, endpoint: &Endpoint) {
        let attempt =
            ObservedAttempt { sent_at: now, zone: endpoint.zone, cell: endpoint.cell, outcome: None };
        self.requests.get_mut(&request).expect("the request should be known").attempts.push(attempt);
    }

    /// Checks that an attempt does not overload a server that is warming up.
    fn check_slow_start(&mut self, now: Time, request: RequestId, endpoint: &Endpoint) {
        let work = self.requests[&request].work;
        if let Some(overload) = self.slow_start.record(now, endpoint, work, &self.fleet) {
            let details = format!(
                "{:?} was sent {} units of work, warm servers {:.1} on average",
                endpoint.server, overload.sent_work, overload.mean_warm_work
            );
            self.record_violation(now, Rule::SlowStart, details);
        }
    }

    /// Checks that the rejection of a request is allowed.
    fn check_rejection(&mut self, now: Time, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        if !may_reject(request, self.effect_of(request)) {
            self.record_violation(now, Rule::NoRejectionAfterItMayHaveRun, format!("{id:?} rejected"));
        }
    }

    /// Checks the final response to a request, and records that the request is finished.
    fn check_final_response(&mut self, now: Time, request: RequestId) {
        let violated = match self.requests.get_mut(&request) {
            None => Some(Rule::KnownRequest),
            Some(observed) if observed.is_finished => Some(Rule::OneFinalResponse),
            Some(observed) => {
                observed.is_finished = true;
                observed.is_overdue(now).then_some(Rule::FinalResponseInTime)
            }
        };
        if let Some(rule) = violated {
            self.record_violation(now, rule, format!("final response to {request:?}"));
        }
    }

    /// Returns the number of requests whose final response is overdue.
    pub fn lost_request_count(&self, now: Time) -> usize {
        self.requests.values().filter(|request| request.is_lost(now)).count()
    }
}
