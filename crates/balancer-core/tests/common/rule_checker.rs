//! A checker that holds a balancer to its four rules without knowing how decisions are made: one final answer
//! in time, no duplicate effect, nothing for draining servers, and slow start.

use super::observed_request::{ObservedAttempt, ObservedRequest};
use super::slow_start_checker::SlowStartChecker;
use balancer_core::{
    Action, CellId, DedupScope, Effect, Endpoint, EndpointUpdate, Event, RequestId, ServerId, Settings, Time,
    ZoneId,
};
use std::collections::{BTreeMap, BTreeSet};

/// What an action can violate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    KnownServer,
    KnownRequest,
    NoSendAfterTheEnd,
    NoSendWhenBoundToAStream,
    MaxAttempts,
    NoHedgingUnlessAllowed,
    NoSendPastTheDeadline,
    /// It may have run and must not be sent again.
    NoRetryAfterItMayHaveRun,
    /// It may have run and may only be sent where it is deduplicated.
    RetryWithinDeduplicationScope,
    /// Nothing is sent to a server that drains or is gone.
    NoSendToDrainingServer,
    NoRejectionAfterItMayHaveRun,
    OneEnd,
    EndInTime,
    /// A server that is warming up is sent its share only.
    SlowStart,
}

/// A violation of a rule.
#[derive(Debug, Clone)]
pub struct Violation {
    pub at: Time,
    pub rule: Rule,
    pub details: String,
}

/// Where a request may be sent.
enum AllowedTargets {
    All,
    None,
    Zone(ZoneId),
    Cell(CellId),
}

/// An action that sends an attempt.
struct SentAttempt {
    request: RequestId,
    server: ServerId,
    timeout_at: Time,
}

/// Observes events and actions and notes every violation of a rule.
pub struct RuleChecker {
    pub violations: Vec<Violation>,
    settings: Settings,
    requests: BTreeMap<RequestId, ObservedRequest>,
    endpoints: BTreeMap<ServerId, Endpoint>,
    draining_since: BTreeMap<ServerId, Time>,
    slow_start: SlowStartChecker,
}

impl RuleChecker {
    pub fn new(settings: &Settings) -> Self {
        RuleChecker {
            violations: Vec::new(),
            settings: settings.clone(),
            requests: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            draining_since: BTreeMap::new(),
            slow_start: SlowStartChecker::new(settings),
        }
    }

    /// Takes in an event, before the balancer handles it.
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
                    request.is_bound_to_stream = true;
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
        let (endpoints, is_complete) = match update {
            EndpointUpdate::Changes(endpoints) => (endpoints, false),
            EndpointUpdate::Complete(endpoints) | EndpointUpdate::Cached(endpoints) => (endpoints, true),
            EndpointUpdate::Failed => return,
        };
        let named: BTreeSet<ServerId> = endpoints.iter().map(|endpoint| endpoint.server).collect();
        if is_complete {
            for server in self.endpoints.keys().filter(|server| !named.contains(server)) {
                self.draining_since.entry(*server).or_insert(now);
            }
        }
        for endpoint in endpoints {
            let before = self.endpoints.insert(endpoint.server, endpoint.clone());
            if before.is_some_and(|before| before.started_at != endpoint.started_at) {
                self.slow_start.forget(endpoint.server);
            }
        }
        for server in named {
            if self.endpoints[&server].is_serving() {
                self.draining_since.remove(&server);
            } else {
                self.draining_since.entry(server).or_insert(now);
            }
        }
    }

    /// Checks an action against the rules.
    pub fn check_action(&mut self, now: Time, action: &Action) {
        match *action {
            Action::Send { request, server, timeout_at, .. } => {
                self.check_send(now, &SentAttempt { request, server, timeout_at });
            }
            Action::Reject { request, .. } => {
                if self.requests.get(&request).is_some_and(|observed| !self.may_reject(observed)) {
                    self.report(now, Rule::NoRejectionAfterItMayHaveRun, format!("{request:?}"));
                }
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
        let Some(endpoint) = self.endpoints.get(&sent.server).cloned() else {
            return self.report(now, Rule::KnownServer, format!("sent to {:?}", sent.server));
        };
        let Some(observed) = self.requests.get(&sent.request) else {
            return self.report(now, Rule::KnownRequest, format!("sent {:?}", sent.request));
        };
        let work = observed.work;
        for rule in self.rules_violated_by(now, sent, observed, &endpoint) {
            self.report(now, rule, format!("{:?} sent to {:?}", sent.request, sent.server));
        }
        let (zone, cell) = (endpoint.zone, endpoint.cell);
        let attempt = ObservedAttempt { sent_at: now, zone, cell, outcome: None };
        self.requests.get_mut(&sent.request).expect("looked up above").attempts.push(attempt);
        if let Some(overload) = self.slow_start.record(now, sent.server, work, &self.endpoints) {
            let (sent_work, warm_average) = (overload.sent_work, overload.warm_average);
            let details = format!("{:?}: {sent_work} where a warm one has {warm_average:.1}", sent.server);
            self.report(now, Rule::SlowStart, details);
        }
    }

    fn rules_violated_by(
        &self,
        now: Time,
        sent: &SentAttempt,
        observed: &ObservedRequest,
        endpoint: &Endpoint,
    ) -> Vec<Rule> {
        let is_concurrent = observed.has_attempt_in_flight() && !self.settings.allows_hedging;
        let is_past_deadline = now > observed.deadline || sent.timeout_at > observed.deadline;
        let targets = self.allowed_targets(observed, now);
        let is_outside_scope = match targets {
            AllowedTargets::All | AllowedTargets::None => false,
            AllowedTargets::Zone(zone) => zone != endpoint.zone,
            AllowedTargets::Cell(cell) => cell != endpoint.cell,
        };
        let draining_since = self.draining_since.get(&sent.server);
        let is_draining = draining_since.is_some_and(|since| now > *since + self.settings.drain_grace);
        let checks = [
            (observed.is_finished, Rule::NoSendAfterTheEnd),
            (observed.is_bound_to_stream, Rule::NoSendWhenBoundToAStream),
            (observed.attempts.len() >= self.settings.max_attempts as usize, Rule::MaxAttempts),
            (is_concurrent, Rule::NoHedgingUnlessAllowed),
            (is_past_deadline, Rule::NoSendPastTheDeadline),
            (matches!(targets, AllowedTargets::None), Rule::NoRetryAfterItMayHaveRun),
            (is_outside_scope, Rule::RetryWithinDeduplicationScope),
            (is_draining, Rule::NoSendToDrainingServer),
        ];
        checks.into_iter().filter_map(|(is_violated, rule)| is_violated.then_some(rule)).collect()
    }

    /// Where a request may be sent, given what may have run of it.
    fn allowed_targets(&self, observed: &ObservedRequest, now: Time) -> AllowedTargets {
        let Some(attempt) = observed.first_attempt_that_may_have_run() else { return AllowedTargets::All };
        match self.settings.classes[observed.class].effect {
            Effect::Idempotent => AllowedTargets::All,
            Effect::AtMostOnce => AllowedTargets::None,
            Effect::Deduplicated { scope, window } => {
                let is_window_over = now.since(attempt.sent_at) > window;
                match scope {
                    _ if is_window_over => AllowedTargets::None,
                    DedupScope::Fleet => AllowedTargets::All,
                    DedupScope::Zone => AllowedTargets::Zone(attempt.zone),
                    DedupScope::Cell => AllowedTargets::Cell(attempt.cell),
                }
            }
        }
    }

    fn may_reject(&self, observed: &ObservedRequest) -> bool {
        let may_have_run = observed.first_attempt_that_may_have_run().is_some();
        match self.settings.classes[observed.class].effect {
            Effect::Idempotent => true,
            Effect::AtMostOnce => !may_have_run,
            Effect::Deduplicated { scope, .. } => !may_have_run || scope == DedupScope::Fleet,
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
        self.requests.values().filter(|observed| observed.is_lost(now)).count()
    }
}
