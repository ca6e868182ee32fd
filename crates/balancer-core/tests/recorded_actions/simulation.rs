//! A discrete-event simulation of one balancer's surroundings.

use super::action_recorder::ActionRecorder;
use super::clients::ClientRequest;
use super::scenarios::{InitialFleet, Scenario};
use super::schedule::{Schedule, ScheduledEvent};
use super::servers::Server;
use balancer_core::{
    Action, Balancer, EndpointStatus, EndpointUpdate, Event, PeerId, RequestId, ServerId, Span, Time,
};
use std::collections::BTreeMap;

/// The balancer, its servers and its clients.
pub struct Simulation {
    pub scenario: Scenario,
    pub rng: fastrand::Rng,
    pub now: Time,
    pub servers: BTreeMap<ServerId, Server>,
    pub next_server: u32,
    pub requests: BTreeMap<RequestId, ClientRequest>,
    pub next_request: u64,
    /// Every server is slower by this factor.
    pub fleet_slowness: f64,
    pub is_discovery_down: bool,
    /// Clients wait for this part of their class's deadline.
    pub client_timeout_factor: f64,
    /// Requests arrive more often by this factor.
    pub arrival_rate_factor: f64,
    balancer: Balancer,
    schedule: Schedule,
    recorder: ActionRecorder,
}

impl Simulation {
    pub fn new(scenario: Scenario) -> Self {
        let balancer = Balancer::new(scenario.settings.clone(), scenario.seed).expect("usable settings");
        let mut simulation = Simulation {
            rng: fastrand::Rng::with_seed(scenario.seed ^ 0x5eed),
            now: Time::from_millis(1_000_000),
            servers: BTreeMap::new(),
            next_server: 0,
            requests: BTreeMap::new(),
            next_request: 0,
            fleet_slowness: 1.0,
            is_discovery_down: false,
            client_timeout_factor: 1.0,
            arrival_rate_factor: 1.0,
            balancer,
            schedule: Schedule::default(),
            recorder: ActionRecorder::default(),
            scenario,
        };
        simulation.add_initial_fleet();
        simulation.start();
        simulation
    }

    fn add_initial_fleet(&mut self) {
        let initial_fleet = self.scenario.initial_fleet;
        for number in 0..self.scenario.server_count {
            let is_warming_up = initial_fleet == InitialFleet::HalfWarmingUp && number % 2 == 0;
            let server = self.add_server(is_warming_up.then_some(self.now));
            if initial_fleet == InitialFleet::Draining {
                self.server_mut(server).endpoint.status = EndpointStatus::Draining;
                self.schedule(150.0, ScheduledEvent::Recovery(server));
            }
        }
    }

    fn start(&mut self) {
        let mut actions = Vec::new();
        self.balancer.start(self.now, &mut actions);
        self.carry_out(actions);
        self.handle(Event::Endpoints(EndpointUpdate::Cached(self.listed_endpoints())));
        self.schedule(1.0, ScheduledEvent::Arrival);
        self.schedule(500.0, ScheduledEvent::Fault);
    }

    /// Runs until all requests have arrived and ended; returns the recorded actions.
    pub fn run(mut self) -> ActionRecorder {
        while !self.is_over() {
            let Some((at, event)) = self.schedule.pop() else { break };
            self.now = self.now.max(at);
            self.happen(event);
        }
        self.recorder
    }

    fn is_over(&self) -> bool {
        let has_every_request_arrived = self.next_request >= self.scenario.request_count;
        has_every_request_arrived && self.requests.values().all(|request| request.has_ended)
    }

    pub fn schedule(&mut self, after_ms: f64, event: ScheduledEvent) {
        self.schedule.add(self.now + Span::from_millis_f64(after_ms), event);
    }

    fn happen(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Arrival => self.send_next_request(),
            ScheduledEvent::Fault => self.inject_fault(),
            ScheduledEvent::Calm => self.calm(),
            ScheduledEvent::Recovery(server) => self.recover(server),
            ScheduledEvent::Endpoints(update) => self.handle(Event::Endpoints(update)),
            ScheduledEvent::Timer(timer) => self.handle(Event::TimerDue(timer)),
            ScheduledEvent::AttemptEnd(end) => self.end_attempt(&end),
            ScheduledEvent::HealthCheckEnd(server) => self.end_health_check(server),
            ScheduledEvent::Disconnect(request) => self.disconnect(request),
            ScheduledEvent::FirstByte(request) => self.begin_stream(request),
            ScheduledEvent::Gossip(payload) => self.handle(Event::Gossip { from: PeerId(1), payload }),
        }
    }

    /// Hands an event to the balancer and carries out what it answers.
    pub fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        self.carry_out(actions);
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            self.recorder.record(self.now, &action);
            match action {
                Action::Send { request, server, timeout_at, .. } => {
                    self.send_attempt(request, server, timeout_at);
                }
                Action::Cancel { request, attempt } => self.cancel_attempt(request, attempt),
                Action::Reject { request, .. } | Action::Fail { request } => self.end_request(request),
                Action::SetTimer { at, timer } => self.schedule.add(at, ScheduledEvent::Timer(timer)),
                Action::CheckHealth { server } => self.schedule(2.0, ScheduledEvent::HealthCheckEnd(server)),
                Action::WatchEndpoints => self.publish_all(),
                _ => {}
            }
        }
    }
}
