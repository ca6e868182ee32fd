//! A discrete-event simulation of one balancer with its servers, clients and discovery.

mod faults;

use super::action_recorder::ActionRecorder;
use super::clients::{Clients, InFlightAttempt};
use super::context::Context;
use super::fleet::Fleet;
use super::scenarios::{InitialFleet, Scenario};
use super::schedule::{AttemptEnd, ScheduledEvent};
use balancer_core::{
    Action, AttemptNumber, Balancer, EndpointStatus, EndpointUpdate, Event, LoadReport, LoadReportSource,
    Outcome, PeerId, RequestId, ServerId, Span, Time,
};

/// The time from the cancellation of an attempt to its end.
const CANCEL_DELAY_MS: f64 = 1.0;
/// The time that a health check takes.
const HEALTH_CHECK_DURATION: Span = Span::from_millis(2);
/// The time from the publication of an update of the endpoint list to its arrival at the balancer.
const DISCOVERY_DELAY_MS: f64 = 5.0;

/// A balancer and the simulated servers, clients and discovery around it. The simulation carries out the
/// balancer's actions and passes the resulting events to the balancer.
pub struct Simulation {
    scenario: Scenario,
    context: Context,
    balancer: Balancer,
    fleet: Fleet,
    clients: Clients,
    /// Whether discovery reports failures instead of updates.
    is_discovery_down: bool,
    recorder: ActionRecorder,
}

impl Simulation {
    /// Creates a simulation and starts its balancer.
    pub fn new(scenario: Scenario) -> Self {
        let balancer = Balancer::new(scenario.settings.clone(), scenario.seed).expect("valid settings");
        let mut simulation = Simulation {
            context: Context::new(scenario.seed ^ 0x5eed),
            balancer,
            fleet: Fleet::new(&scenario),
            clients: Clients::new(&scenario),
            is_discovery_down: false,
            recorder: ActionRecorder::default(),
            scenario,
        };
        simulation.add_initial_fleet();
        simulation.start();
        simulation
    }

    /// Adds the servers that the scenario begins with.
    fn add_initial_fleet(&mut self) {
        let initial_fleet = self.scenario.initial_fleet;
        for number in 0..self.scenario.server_count {
            let is_warming_up = initial_fleet == InitialFleet::HalfWarmingUp && number % 2 == 0;
            let server = self.fleet.add_server(is_warming_up.then_some(self.context.now()));
            if initial_fleet == InitialFleet::Draining {
                self.fleet.set_status(server, EndpointStatus::Draining);
                self.context.schedule_after(150.0, ScheduledEvent::Recovery(server));
            }
        }
    }

    /// Starts the balancer, passes it a cached endpoint list and schedules the first request and fault.
    fn start(&mut self) {
        let mut actions = Vec::new();
        self.balancer.start(self.context.now(), &mut actions);
        self.carry_out(actions);
        self.handle(Event::Endpoints(EndpointUpdate::Cached(self.fleet.listed_endpoints())));
        self.context.schedule_after(1.0, ScheduledEvent::Arrival);
        self.context.schedule_after(500.0, ScheduledEvent::Fault);
    }

    /// Runs the simulation until all requests of the scenario are finished, and returns the recorded actions.
    pub fn run(mut self) -> ActionRecorder {
        while !self.is_over() {
            let Some(event) = self.context.next_event() else { break };
            self.handle_scheduled_event(event);
        }
        self.recorder
    }

    /// Returns whether all requests of the scenario have been sent and are finished.
    fn is_over(&self) -> bool {
        self.clients.has_sent_all_requests() && self.clients.has_finished_all_requests()
    }

    /// Simulates an event that is due now.
    fn handle_scheduled_event(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Arrival => self.send_next_request(),
            ScheduledEvent::Fault => self.inject_fault(),
            ScheduledEvent::GlobalFaultEnd => self.end_global_faults(),
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

    /// Passes an event to the balancer and carries out the actions that it returns.
    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(self.context.now(), event, &mut actions);
        self.carry_out(actions);
    }

    /// Records the balancer's actions and simulates their effects.
    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            self.recorder.record(self.context.now(), &action);
            match action {
                Action::Send { request, server, timeout_at, .. } => {
                    self.send_attempt(request, server, timeout_at);
                }
                Action::Cancel { request, attempt } => self.cancel_attempt(request, attempt),
                Action::Reject { request, .. } | Action::Fail { request } => {
                    self.clients.finish_request(request);
                }
                Action::SetTimer { at, timer } => {
                    self.context.schedule_at(at, ScheduledEvent::Timer(timer));
                }
                Action::CheckHealth { server } => {
                    let delay_ms = HEALTH_CHECK_DURATION.as_millis_f64();
                    self.context.schedule_after(delay_ms, ScheduledEvent::HealthCheckEnd(server));
                }
                Action::WatchEndpoints => self.publish_complete_list(),
                _ => {}
            }
        }
    }

    /// Sends the next request of the scenario to the balancer, if there is one.
    fn send_next_request(&mut self) {
        if self.clients.has_sent_all_requests() {
            return;
        }
        let request = self.clients.send_request(&mut self.context);
        self.handle(Event::Request(request));
    }

    /// Disconnects the client of a request, unless the request is finished.
    fn disconnect(&mut self, request: RequestId) {
        if self.clients.disconnect(request) {
            self.handle(Event::ClientDisconnected { request });
        }
    }

    /// Starts to stream the response to a request, unless the request is finished or has had no attempt.
    fn begin_stream(&mut self, request: RequestId) {
        if let Some(attempt) = self.clients.begin_stream(request) {
            self.handle(Event::FirstByte { request, attempt });
        }
    }

    /// Starts an attempt at a server and schedules the end of the attempt.
    fn send_attempt(&mut self, request: RequestId, server: ServerId, timeout_at: Time) {
        let response = self.fleet.start_attempt(server, &mut self.context.rng);
        let sent_at = self.context.now();
        let attempt = self.clients.start_attempt(request, InFlightAttempt { server, sent_at });
        let response = response.or_timeout(timeout_at.since(sent_at).as_millis_f64());
        let end = AttemptEnd { request, attempt, server, outcome: response.outcome, sent_at };
        self.context.schedule_after(response.elapsed_ms, ScheduledEvent::AttemptEnd(end));
    }

    /// Cancels an attempt, if it has not ended before.
    fn cancel_attempt(&mut self, request: RequestId, attempt: AttemptNumber) {
        let Some(in_flight) = self.clients.in_flight_attempt(request, attempt) else { return };
        let end = AttemptEnd {
            request,
            attempt,
            server: in_flight.server,
            outcome: Outcome::Cancelled,
            sent_at: in_flight.sent_at,
        };
        self.context.schedule_after(CANCEL_DELAY_MS, ScheduledEvent::AttemptEnd(end));
    }

    /// Ends an attempt, if it has not ended before.
    fn end_attempt(&mut self, end: &AttemptEnd) {
        let was_in_flight = self.clients.end_attempt(end);
        if !was_in_flight {
            return;
        }
        self.fleet.end_attempt(end.server);
        let load_report = self.draw_response_load_report(end);
        self.handle(Event::AttemptEnded {
            request: end.request,
            attempt: end.attempt,
            outcome: end.outcome,
            elapsed: self.context.now().since(end.sent_at),
            load_report,
            is_request_finished: self.clients.is_finished(end.request),
        });
    }

    /// Draws the load report of a response, if the server sends one.
    fn draw_response_load_report(&mut self, end: &AttemptEnd) -> Option<LoadReport> {
        let sends_reports = self.scenario.settings.load_report_source == LoadReportSource::Responses;
        let has_report = sends_reports && end.outcome == Outcome::Success;
        has_report.then(|| self.fleet.draw_load_report(end.server, &mut self.context.rng))
    }

    /// Ends a health check of a server.
    fn end_health_check(&mut self, server: ServerId) {
        // The report is drawn even if the server does not respond, because the digests were recorded with
        // this sequence of random numbers.
        let load_report = self.fleet.draw_load_report(server, &mut self.context.rng);
        let has_responded = self.fleet.responds_to_health_checks(server);
        self.handle(Event::HealthChecked {
            server,
            outcome: if has_responded { Outcome::Success } else { Outcome::TimedOut },
            elapsed: HEALTH_CHECK_DURATION,
            load_report: has_responded.then_some(load_report),
        });
    }

    /// Publishes the complete endpoint list.
    fn publish_complete_list(&mut self) {
        self.publish_update(EndpointUpdate::Complete(self.fleet.listed_endpoints()));
    }

    /// Sends an update of the endpoint list to the balancer, or a failure while discovery is down.
    fn publish_update(&mut self, update: EndpointUpdate) {
        let update = if self.is_discovery_down { EndpointUpdate::Failed } else { update };
        self.context.schedule_after(DISCOVERY_DELAY_MS, ScheduledEvent::Endpoints(update));
    }
}
