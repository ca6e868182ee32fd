//! A harness that runs a balancer on a simulated clock, fires its timers and checks its actions against the
//! rules.

use super::actions::find_target;
use super::fixtures::FIRST_ATTEMPT;
use super::rule_checker::RuleChecker;
use balancer_core::{
    Action, AttemptNumber, Balancer, ClassId, Endpoint, EndpointUpdate, Event, LoadReport, Outcome, Request,
    RequestId, ServerId, Settings, Span, Time, TimerId,
};
use std::collections::BTreeSet;

/// The time on the clock when a test starts. It is late enough for servers to have started long before.
const START_TIME: Time = Time::from_millis(50_000);

/// A request that was submitted to the balancer.
#[derive(Debug, Clone, Copy)]
pub struct SubmittedRequest {
    /// The id of the request.
    pub id: RequestId,
    /// The server that the request was sent to immediately; `None` if it was not sent immediately.
    pub server: Option<ServerId>,
}

impl SubmittedRequest {
    /// Returns whether the request was sent immediately.
    pub fn is_sent(&self) -> bool {
        self.server.is_some()
    }

    /// Returns the server that the request was sent to.
    ///
    /// # Panics
    ///
    /// Panics if the request was not sent immediately.
    pub fn expect_sent(&self) -> ServerId {
        self.server.expect("the request should have been sent immediately")
    }
}

/// The requests that [`Harness::fill_servers`] submitted.
#[derive(Debug)]
pub struct FilledServers {
    /// The requests that were sent immediately.
    pub sent: Vec<RequestId>,
    /// The first request that was not sent immediately.
    pub unsent: RequestId,
}

/// How and when an attempt ends.
#[derive(Debug, Clone, Copy)]
pub struct Response {
    /// How the attempt ends.
    pub outcome: Outcome,
    /// The time from the start to the end of the attempt.
    pub elapsed_ms: f64,
}

impl Response {
    /// Creates a successful response that takes `elapsed_ms`.
    pub fn success(elapsed_ms: f64) -> Self {
        Response { outcome: Outcome::Success, elapsed_ms }
    }
}

/// Requests that are submitted one after the other.
#[derive(Debug, Clone, Copy)]
pub struct SequentialLoad {
    /// The number of requests.
    pub request_count: u32,
    /// The time from the end of one request to the next request.
    pub gap_ms: f64,
}

/// A balancer with a simulated clock, the balancer's timers and a rule checker.
pub struct Harness {
    /// The balancer under test.
    pub balancer: Balancer,
    /// The checker that has observed all events and actions of the balancer.
    pub rule_checker: RuleChecker,
    /// The time on the simulated clock.
    pub now: Time,
    /// The actions that the balancer returned for the last event.
    pub actions: Vec<Action>,
    settings: Settings,
    /// The timers that have not fired, with the times at which they are due.
    timers: BTreeSet<(Time, TimerId)>,
    /// The id of the next request that is submitted.
    next_request: u64,
    /// The largest number of endpoints in a list so far. The servers are numbered from 0, so their numbers
    /// are less than this.
    server_count: usize,
}

impl Harness {
    /// Creates a harness whose balancer has been started and has received no endpoint list.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut harness = Harness {
            balancer: Balancer::new(settings.clone(), seed).expect("valid settings"),
            rule_checker: RuleChecker::new(&settings),
            now: START_TIME,
            actions: Vec::new(),
            settings,
            timers: BTreeSet::new(),
            next_request: 0,
            server_count: 0,
        };
        let mut actions = Vec::new();
        harness.balancer.start(harness.now, &mut actions);
        harness.carry_out(actions);
        harness
    }

    /// Creates a harness whose balancer has received these endpoints.
    pub fn with_endpoints(settings: Settings, seed: u64, endpoints: Vec<Endpoint>) -> Self {
        let mut harness = Harness::new(settings, seed);
        harness.set_endpoints(endpoints);
        harness
    }

    /// Checks the actions against the rules, sets the timers that they request, and stores the actions in
    /// `self.actions`.
    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in &actions {
            self.rule_checker.check_action(self.now, action);
            if let Action::SetTimer { at, timer } = action {
                self.timers.insert((*at, *timer));
            }
        }
        self.actions = actions;
    }

    /// Passes an event to the balancer and returns the balancer's actions.
    pub fn handle(&mut self, event: Event) -> &[Action] {
        self.rule_checker.observe_event(self.now, &event);
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        self.carry_out(actions);
        &self.actions
    }

    /// Advances the clock and fires the timers that become due. Returns the actions of all these timers.
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

    /// Advances the clock by `ms` milliseconds; see [`advance`](Self::advance).
    pub fn advance_ms(&mut self, ms: f64) -> Vec<Action> {
        self.advance(Span::from_millis_f64(ms))
    }

    /// Advances the clock without firing timers.
    pub fn advance_without_timers(&mut self, span: Span) {
        self.now = self.now + span;
    }

    /// Replaces the endpoint list.
    pub fn set_endpoints(&mut self, endpoints: Vec<Endpoint>) {
        self.server_count = self.server_count.max(endpoints.len());
        self.handle(Event::Endpoints(EndpointUpdate::Complete(endpoints)));
    }

    /// Submits a new request of class 0.
    pub fn submit_request(&mut self) -> SubmittedRequest {
        self.submit_request_of(ClassId(0))
    }

    /// Submits a new request of a class. The time left until its deadline is the timeout of the class.
    pub fn submit_request_of(&mut self, class: ClassId) -> SubmittedRequest {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        let time_left = self.settings.classes[class.0].timeout;
        self.handle(Event::Request(Request::new(id, class, time_left)));
        SubmittedRequest { id, server: self.target_of(id) }
    }

    /// Submits requests of class 0 at the same time and returns those that were sent immediately.
    pub fn submit_burst(&mut self, request_count: usize) -> Vec<SubmittedRequest> {
        let requests = (0..request_count).map(|_| self.submit_request());
        requests.filter(SubmittedRequest::is_sent).collect()
    }

    /// Submits requests of class 0 at the same time until one is not sent immediately.
    pub fn fill_servers(&mut self) -> FilledServers {
        let mut sent = Vec::new();
        loop {
            let request = self.submit_request();
            if !request.is_sent() {
                return FilledServers { sent, unsent: request.id };
            }
            sent.push(request.id);
        }
    }

    /// Submits a request of class 0 and advances the clock by `elapsed_ms`. Ends the first attempt of the
    /// request with success if the attempt was sent in this time. Returns the server of the attempt.
    pub fn submit_and_succeed(&mut self, elapsed_ms: f64) -> Option<ServerId> {
        let request = self.submit_request();
        let server = request.server.or(find_target(&self.advance_ms(elapsed_ms), request.id));
        if server.is_some() {
            self.succeed(request.id, elapsed_ms);
        }
        server
    }

    /// Submits requests of class 0 one after the other and ends each attempt with the response that `respond`
    /// returns for its server. Returns the number of attempts at each server.
    pub fn serve_sequentially(
        &mut self,
        load: SequentialLoad,
        respond: impl Fn(ServerId) -> Response,
    ) -> Vec<u32> {
        let mut attempts_by_server = vec![0; self.server_count];
        for _ in 0..load.request_count {
            let request = self.submit_request();
            let mut target = request.server;
            let mut attempt = FIRST_ATTEMPT;
            while let Some(server) = target {
                attempts_by_server[server.0 as usize] += 1;
                let response = respond(server);
                self.advance_ms(response.elapsed_ms);
                self.end_attempt(request.id, attempt, response.outcome, response.elapsed_ms);
                target = self.target_of(request.id);
                attempt.0 += 1;
            }
            self.advance_ms(load.gap_ms);
        }
        attempts_by_server
    }

    /// Returns the server that the balancer sent a request to when it handled the last event.
    pub fn target_of(&self, id: RequestId) -> Option<ServerId> {
        find_target(&self.actions, id)
    }

    /// Ends the first attempt of a request with success, and returns the balancer's actions.
    pub fn succeed(&mut self, id: RequestId, elapsed_ms: f64) -> &[Action] {
        self.end_attempt(id, FIRST_ATTEMPT, Outcome::Success, elapsed_ms)
    }

    /// Ends an attempt without a load report, and returns the balancer's actions. A success finishes the
    /// request.
    pub fn end_attempt(
        &mut self,
        id: RequestId,
        attempt: AttemptNumber,
        outcome: Outcome,
        elapsed_ms: f64,
    ) -> &[Action] {
        self.end_attempt_with_report(id, attempt, Response { outcome, elapsed_ms }, None)
    }

    /// Ends an attempt with or without a load report, and returns the balancer's actions. A success finishes
    /// the request.
    pub fn end_attempt_with_report(
        &mut self,
        request: RequestId,
        attempt: AttemptNumber,
        response: Response,
        load_report: Option<LoadReport>,
    ) -> &[Action] {
        self.handle(Event::AttemptEnded {
            request,
            attempt,
            outcome: response.outcome,
            elapsed: Span::from_millis_f64(response.elapsed_ms),
            load_report,
            is_request_finished: response.outcome == Outcome::Success,
        })
    }

    /// Returns the number of requests whose final response is overdue.
    pub fn lost_request_count(&self) -> usize {
        self.rule_checker.lost_request_count(self.now)
    }

    /// Asserts that the balancer has violated no rule and that no request's final response is overdue.
    pub fn assert_no_violations(&self) {
        assert!(self.rule_checker.violations.is_empty(), "{:#?}", self.rule_checker.violations);
        assert_eq!(self.lost_request_count(), 0, "requests whose final response is overdue");
    }
}
