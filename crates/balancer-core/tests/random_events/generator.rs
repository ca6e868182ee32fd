//! Passes random events to a balancer and simulates the attempts that the balancer sends.

use super::attempts::InFlightAttempts;
use super::common::{fleet_in, Harness, THREE_ZONES};
use balancer_core::{
    Action, ClassId, Endpoint, EndpointStatus, EndpointUpdate, Event, LoadReport, Outcome, Request,
    RequestClass, RequestId, RoutingKey, Settings, Span,
};

/// The elapsed time that is reported for each attempt that timed out.
const TIMEOUT_MS: f64 = 800.0;

/// The statuses that an endpoint can change to. Each entry is equally likely.
const STATUSES: [EndpointStatus; 4] =
    [EndpointStatus::Serving, EndpointStatus::Serving, EndpointStatus::Draining, EndpointStatus::Removed];

/// The service times in load reports. The first two are invalid.
const REPORTED_SERVICE_TIMES: [f64; 3] = [f64::NAN, -4.0, 30.0];

/// A simulation in which a balancer receives random events.
pub struct RandomSimulation {
    /// The harness that runs the balancer.
    pub harness: Harness,
    /// The debug output of the balancer's actions in each step.
    pub action_log: Vec<String>,
    rng: fastrand::Rng,
    classes: Vec<RequestClass>,
    /// The current endpoint list. The balancer may not have received all of its changes.
    endpoints: Vec<Endpoint>,
    /// The attempts that the balancer has sent and that have not ended.
    attempts: InFlightAttempts,
}

impl RandomSimulation {
    /// Runs a simulation of `step_count` steps and returns its final state.
    pub fn run(settings: Settings, seed: u64, step_count: u32) -> Self {
        let mut simulation = RandomSimulation::new(settings, seed);
        for step in 0..step_count {
            simulation.step(step);
        }
        simulation
    }

    /// Creates a simulation whose balancer has received a cached list of one to nine endpoints.
    fn new(settings: Settings, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let classes = settings.classes.clone();
        let mut harness = Harness::new(settings, seed ^ 0x5eed);
        let endpoints = fleet_in(1 + rng.u32(0..9), THREE_ZONES);
        harness.handle(Event::Endpoints(EndpointUpdate::Cached(endpoints.clone())));
        RandomSimulation {
            harness,
            action_log: Vec::new(),
            rng,
            classes,
            endpoints,
            attempts: InFlightAttempts::default(),
        }
    }

    /// Simulates one random event and its effects.
    fn step(&mut self, step: u32) {
        let mut actions = self.handle_random_event(step);
        actions.extend(self.end_timed_out_attempts());
        for action in &actions {
            self.attempts.carry_out(self.harness.now, action);
        }
        self.action_log.push(format!("{actions:?}"));
    }

    /// Passes one random event to the balancer or advances the clock. Returns the balancer's actions.
    fn handle_random_event(&mut self, step: u32) -> Vec<Action> {
        match self.rng.u32(0..100) {
            0..=39 => self.submit_request(RequestId(u64::from(step))),
            40..=79 if !self.attempts.is_empty() => self.end_attempt(),
            80..=83 if !self.attempts.is_empty() => self.begin_stream(),
            84..=86 => self.disconnect_client(step),
            87..=90 => self.change_endpoint(),
            _ => self.harness.advance_ms(self.rng.f64() * 15.0),
        }
    }

    /// Submits a request with a random class, time left, routing key and cost hint.
    fn submit_request(&mut self, id: RequestId) -> Vec<Action> {
        let rng = &mut self.rng;
        let class = rng.usize(0..self.classes.len());
        let time_left = self.classes[class].timeout * (rng.f64() * 1.2).min(1.0);
        let mut request = Request::new(id, ClassId(class), time_left);
        request.routing_key = rng.bool().then(|| RoutingKey(rng.u64(0..5)));
        request.cost_hint = rng.bool().then(|| Span::from_millis_f64(rng.f64() * 80.0));
        self.harness.handle(Event::Request(request)).to_vec()
    }

    /// Ends a random attempt with a random outcome.
    fn end_attempt(&mut self) -> Vec<Action> {
        let now = self.harness.now;
        let ended = self.attempts.remove_random(&mut self.rng);
        let outcome = match self.rng.u32(0..10) {
            _ if ended.has_timed_out(now) => Outcome::TimedOut,
            0 => Outcome::ServerError,
            1 if !ended.is_streaming => Outcome::Rejected,
            2 if !ended.is_streaming => Outcome::ConnectFailed,
            3 => Outcome::ConnectionReset,
            4 if !ended.is_streaming => Outcome::NotSent,
            _ => Outcome::Success,
        };
        let event = Event::AttemptEnded {
            request: ended.request,
            attempt: ended.attempt,
            outcome,
            elapsed: now.since(ended.sent_at),
            load_report: self.draw_load_report(),
            is_request_finished: outcome == Outcome::Success || ended.is_streaming,
        };
        self.harness.handle(event).to_vec()
    }

    /// Draws a load report, which may be absent or contain an invalid service time.
    fn draw_load_report(&mut self) -> Option<LoadReport> {
        if !self.rng.bool() {
            return None;
        }
        let in_flight = self.rng.f64() * 9.0;
        let service_time = REPORTED_SERVICE_TIMES[self.rng.usize(0..REPORTED_SERVICE_TIMES.len())];
        Some(LoadReport::new(vec![in_flight, service_time]))
    }

    /// Starts to stream the response to a random attempt.
    fn begin_stream(&mut self) -> Vec<Action> {
        let streaming = self.attempts.random_mut(&mut self.rng);
        streaming.is_streaming = true;
        let first_byte = Event::FirstByte { request: streaming.request, attempt: streaming.attempt };
        self.harness.handle(first_byte).to_vec()
    }

    /// Disconnects the client of a random request, which may not exist or may be finished.
    fn disconnect_client(&mut self, step: u32) -> Vec<Action> {
        let request = RequestId(u64::from(self.rng.u32(0..=step)));
        self.harness.handle(Event::ClientDisconnected { request }).to_vec()
    }

    /// Changes a random endpoint and passes the balancer a random kind of update.
    fn change_endpoint(&mut self) -> Vec<Action> {
        let position = self.rng.usize(0..self.endpoints.len());
        let endpoint = &mut self.endpoints[position];
        endpoint.status = STATUSES[self.rng.usize(0..STATUSES.len())];
        if self.rng.bool() && endpoint.is_serving() {
            endpoint.started_at = Some(self.harness.now);
        }
        let update = match self.rng.u32(0..6) {
            0 => EndpointUpdate::Failed,
            1 => EndpointUpdate::Complete(self.endpoints.clone()),
            _ => EndpointUpdate::Changes(vec![endpoint.clone()]),
        };
        self.harness.handle(Event::Endpoints(update)).to_vec()
    }

    /// Ends the attempts that have timed out, as the host of a balancer does. Returns the balancer's actions.
    fn end_timed_out_attempts(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(ended) = self.attempts.remove_timed_out(self.harness.now) {
            let outcome = Outcome::TimedOut;
            let returned = self.harness.end_attempt(ended.request, ended.attempt, outcome, TIMEOUT_MS);
            actions.extend_from_slice(returned);
        }
        actions
    }
}
