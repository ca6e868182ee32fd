//! A harness around a balancer: a clock to advance, timers that fire, and a rule checker at its side.

use super::actions::find_target;
use super::rule_checker::RuleChecker;
use balancer_core::{
    Action, AttemptNumber, Balancer, ClassId, Endpoint, EndpointUpdate, Event, LoadReport, Outcome, Request,
    RequestId, ServerId, Settings, Span, Time, TimerId,
};
use std::collections::BTreeSet;

/// A request that was handed to the balancer.
#[derive(Debug, Clone, Copy)]
pub struct SubmittedRequest {
    pub id: RequestId,
    /// The server that it was sent to at once, if it was.
    pub server: Option<ServerId>,
}

impl SubmittedRequest {
    pub fn is_sent(&self) -> bool {
        self.server.is_some()
    }
}

/// How a server answers an attempt.
#[derive(Debug, Clone, Copy)]
pub struct Response {
    pub outcome: Outcome,
    pub elapsed_ms: f64,
}

impl Response {
    pub fn success(elapsed_ms: f64) -> Self {
        Response { outcome: Outcome::Success, elapsed_ms }
    }
}

/// Requests that are sent one after the other.
#[derive(Debug, Clone, Copy)]
pub struct SequentialLoad {
    pub server_count: usize,
    pub request_count: u32,
    pub pause_ms: f64,
}

/// A balancer with its rule checker and its clock.
pub struct Harness {
    pub balancer: Balancer,
    pub rule_checker: RuleChecker,
    pub now: Time,
    /// What the balancer answered to the last event.
    pub actions: Vec<Action>,
    settings: Settings,
    timers: BTreeSet<(Time, TimerId)>,
    next_request: u64,
}

impl Harness {
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut harness = Harness {
            balancer: Balancer::new(settings.clone(), seed).expect("usable settings"),
            rule_checker: RuleChecker::new(&settings),
            now: Time::from_millis(50_000),
            actions: Vec::new(),
            settings,
            timers: BTreeSet::new(),
            next_request: 0,
        };
        let mut actions = Vec::new();
        harness.balancer.start(harness.now, &mut actions);
        harness.take_actions(actions);
        harness
    }

    /// A harness whose balancer knows these endpoints.
    pub fn with_endpoints(settings: Settings, seed: u64, endpoints: Vec<Endpoint>) -> Self {
        let mut harness = Harness::new(settings, seed);
        harness.set_endpoints(endpoints);
        harness
    }

    fn take_actions(&mut self, actions: Vec<Action>) {
        for action in &actions {
            self.rule_checker.check_action(self.now, action);
            if let Action::SetTimer { at, timer } = action {
                self.timers.insert((*at, *timer));
            }
        }
        self.actions = actions;
    }

    /// Hands an event to the balancer; what it answers is in `actions` afterwards.
    pub fn handle(&mut self, event: Event) -> &[Action] {
        self.rule_checker.observe_event(self.now, &event);
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        self.take_actions(actions);
        &self.actions
    }

    /// Advances the clock, firing timers as they come due; returns all actions on the way.
    pub fn advance(&mut self, span: Span) -> Vec<Action> {
        let end = self.now + span;
        let mut actions = Vec::new();
        while let Some(&(at, timer)) = self.timers.first().filter(|(at, _)| *at <= end) {
            self.timers.remove(&(at, timer));
            self.now = self.now.max(at);
            actions.extend_from_slice(self.handle(Event::TimerDue(timer)));
        }
        self.now = end;
        actions
    }

    /// Advances the clock by milliseconds.
    pub fn advance_ms(&mut self, ms: f64) -> Vec<Action> {
        self.advance(Span::from_millis_f64(ms))
    }

    /// Replaces the endpoint list.
    pub fn set_endpoints(&mut self, endpoints: Vec<Endpoint>) {
        self.handle(Event::Endpoints(EndpointUpdate::Complete(endpoints)));
    }

    /// Hands over a new request of a class, whose client waits for the class's deadline.
    pub fn send_request(&mut self, class: usize) -> SubmittedRequest {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        let time_left = self.settings.classes[class].deadline;
        self.handle(Event::Request(Request::new(id, ClassId(class), time_left)));
        SubmittedRequest { id, server: self.target_of(id) }
    }

    /// Hands over requests of class 0 in one instant; returns those that were sent.
    pub fn send_burst(&mut self, request_count: usize) -> Vec<SubmittedRequest> {
        let requests = (0..request_count).map(|_| self.send_request(0));
        requests.filter(SubmittedRequest::is_sent).collect()
    }

    /// A request of class 0 that has `elapsed_ms` to be sent and then succeeds; the server it was sent to.
    pub fn send_and_succeed(&mut self, elapsed_ms: f64) -> Option<ServerId> {
        let request = self.send_request(0);
        let server = request.server.or(find_target(&self.advance_ms(elapsed_ms), request.id));
        if server.is_some() {
            self.succeed(request.id, elapsed_ms);
        }
        server
    }

    /// Sends requests of class 0 one after the other, each attempt answered as `respond` says; returns how
    /// many attempts each server got.
    pub fn serve_sequentially(
        &mut self,
        load: SequentialLoad,
        respond: impl Fn(ServerId) -> Response,
    ) -> Vec<u32> {
        let mut attempts_by_server = vec![0; load.server_count];
        for _ in 0..load.request_count {
            let request = self.send_request(0);
            let mut target = request.server;
            let mut attempt = 0;
            while let Some(server) = target {
                attempts_by_server[server.0 as usize] += 1;
                let response = respond(server);
                self.advance_ms(response.elapsed_ms);
                self.end_attempt(request.id, attempt, response.outcome, response.elapsed_ms);
                target = self.target_of(request.id);
                attempt += 1;
            }
            self.advance_ms(load.pause_ms);
        }
        attempts_by_server
    }

    /// The server that the last actions send a request to.
    pub fn target_of(&self, id: RequestId) -> Option<ServerId> {
        find_target(&self.actions, id)
    }

    /// The first attempt of a request succeeds.
    pub fn succeed(&mut self, id: RequestId, elapsed_ms: f64) -> &[Action] {
        self.end_attempt(id, 0, Outcome::Success, elapsed_ms)
    }

    pub fn end_attempt(
        &mut self,
        id: RequestId,
        attempt: u32,
        outcome: Outcome,
        elapsed_ms: f64,
    ) -> &[Action] {
        self.end_attempt_with_report(id, attempt, Response { outcome, elapsed_ms }, None)
    }

    /// An attempt ends; a success finishes its request.
    pub fn end_attempt_with_report(
        &mut self,
        request: RequestId,
        attempt: u32,
        response: Response,
        load_report: Option<LoadReport>,
    ) -> &[Action] {
        self.handle(Event::AttemptEnded {
            request,
            attempt: AttemptNumber(attempt),
            outcome: response.outcome,
            elapsed: Span::from_millis_f64(response.elapsed_ms),
            load_report,
            is_request_finished: response.outcome == Outcome::Success,
        })
    }

    /// Requests whose final answer is overdue.
    pub fn lost_request_count(&self) -> usize {
        self.rule_checker.lost_request_count(self.now)
    }

    pub fn assert_no_violations(&self) {
        assert!(self.rule_checker.violations.is_empty(), "{:#?}", self.rule_checker.violations);
        assert_eq!(self.lost_request_count(), 0, "requests without a final answer");
    }
}
