//! Simulated servers: what they do with the attempts and health checks that reach them.

use super::clients::InFlightAttempt;
use super::schedule::ScheduledEvent;
use super::simulation::Simulation;
use balancer_core::{
    AttemptNumber, CellId, Endpoint, EndpointStatus, Event, LoadReport, LoadReportSource, MachineKindId,
    Outcome, RequestId, ServerId, Span, Time, ZoneId,
};

/// What a server does with the attempts that reach it.
#[derive(Clone, Copy, PartialEq)]
pub enum ServerFault {
    None,
    Slow(f64),
    Hangs,
    RefusesConnections,
    ReturnsErrors,
    RejectsAll,
    ResetsConnections,
}

pub struct Server {
    pub endpoint: Endpoint,
    pub in_flight: u32,
    pub fault: ServerFault,
}

/// How an attempt ends that nothing cuts short.
struct ServerResponse {
    outcome: Outcome,
    after_ms: f64,
}

impl Server {
    /// The response of a server that would serve the attempt in `service_ms` if it were well.
    fn respond(&self, service_ms: f64) -> ServerResponse {
        let (outcome, after_ms) = match self.fault {
            ServerFault::None => (Outcome::Success, service_ms),
            ServerFault::Slow(factor) => (Outcome::Success, service_ms * factor),
            ServerFault::Hangs => (Outcome::TimedOut, f64::INFINITY),
            ServerFault::RefusesConnections => (Outcome::ConnectFailed, 3.0),
            ServerFault::ReturnsErrors => (Outcome::ServerError, 4.0),
            ServerFault::RejectsAll => (Outcome::Rejected, 2.0),
            ServerFault::ResetsConnections => (Outcome::ConnectionReset, 0.4 * service_ms),
        };
        ServerResponse { outcome, after_ms }
    }
}

/// The end of an attempt at a server.
pub struct AttemptEnd {
    pub request: RequestId,
    pub attempt: u32,
    pub server: ServerId,
    pub outcome: Outcome,
    pub sent_at: Time,
}

impl Simulation {
    pub fn add_server(&mut self, started_at: Option<Time>) -> ServerId {
        let number = self.next_server;
        self.next_server += 1;
        let id = ServerId(number);
        let endpoint = Endpoint {
            zone: ZoneId(number % self.scenario.zone_count),
            machine_kind: MachineKindId(number % self.scenario.machine_kind_count),
            cell: CellId(number % self.scenario.zone_count),
            weight: 1.0 + f64::from(number % 3),
            started_at,
            ..Endpoint::serving(id)
        };
        self.servers.insert(id, Server { endpoint, in_flight: 0, fault: ServerFault::None });
        id
    }

    pub fn server_mut(&mut self, server: ServerId) -> &mut Server {
        self.servers.get_mut(&server).expect("it was added")
    }

    /// The endpoint list as discovery has it.
    pub fn listed_endpoints(&self) -> Vec<Endpoint> {
        let endpoints = self.servers.values().map(|server| &server.endpoint);
        endpoints.filter(|endpoint| endpoint.status != EndpointStatus::Removed).cloned().collect()
    }

    /// An attempt reaches a server; its end is scheduled.
    pub fn send_attempt(&mut self, request: RequestId, server: ServerId, timeout_at: Time) {
        let service_ms = self.draw_service_time_ms(server);
        let response = self.servers[&server].respond(service_ms);
        let sent_at = self.now;
        let client_request = self.request_mut(request);
        let attempt = client_request.attempt_count;
        client_request.attempt_count += 1;
        client_request.in_flight.insert(attempt, InFlightAttempt { server, sent_at });
        let time_left_ms = timeout_at.since(sent_at).as_millis_f64();
        let (outcome, after_ms) = if response.after_ms < time_left_ms {
            (response.outcome, response.after_ms)
        } else {
            (Outcome::TimedOut, time_left_ms)
        };
        let end = AttemptEnd { request, attempt, server, outcome, sent_at };
        self.schedule(after_ms, ScheduledEvent::AttemptEnd(end));
    }

    /// One more attempt is at a server: the time that it takes if the server is well.
    fn draw_service_time_ms(&mut self, id: ServerId) -> f64 {
        let noise = 0.5 + self.rng.f64();
        let server = self.server_mut(id);
        server.in_flight += 1;
        let load_factor = 1.0 + f64::from(server.in_flight) / 8.0;
        let machine_factor = 1.0 + 0.7 * f64::from(server.endpoint.machine_kind.0);
        self.scenario.base_latency_ms * self.fleet_slowness * machine_factor * load_factor * noise
    }

    pub fn cancel_attempt(&mut self, request: RequestId, attempt: AttemptNumber) {
        let attempt = attempt.0;
        let Some(&InFlightAttempt { server, sent_at }) = self.requests[&request].in_flight.get(&attempt)
        else {
            return;
        };
        let end = AttemptEnd { request, attempt, server, outcome: Outcome::Cancelled, sent_at };
        self.schedule(1.0, ScheduledEvent::AttemptEnd(end));
    }

    /// An attempt ends, if it has not ended before.
    pub fn end_attempt(&mut self, end: &AttemptEnd) {
        let client_request = self.request_mut(end.request);
        if client_request.in_flight.remove(&end.attempt).is_none() {
            return;
        }
        client_request.has_ended |= end.outcome == Outcome::Success || client_request.is_streaming;
        let is_request_finished = client_request.has_ended;
        self.server_mut(end.server).in_flight -= 1;
        let sends_reports = self.scenario.settings.load_report_source == LoadReportSource::Responses;
        let has_report = sends_reports && end.outcome == Outcome::Success;
        let load_report = has_report.then(|| self.draw_load_report(end.server));
        self.handle(Event::AttemptEnded {
            request: end.request,
            attempt: AttemptNumber(end.attempt),
            outcome: end.outcome,
            elapsed: self.now.since(end.sent_at),
            load_report,
            is_request_finished,
        });
    }

    pub fn end_health_check(&mut self, server: ServerId) {
        let load_report = self.draw_load_report(server);
        let is_silent = self.servers.get(&server).is_none_or(|server| server.fault == ServerFault::Hangs);
        let (outcome, load_report) =
            if is_silent { (Outcome::TimedOut, None) } else { (Outcome::Success, Some(load_report)) };
        self.handle(Event::HealthChecked { server, outcome, elapsed: Span::from_millis(2), load_report });
    }

    fn draw_load_report(&mut self, server: ServerId) -> LoadReport {
        let in_flight = self.servers.get(&server).map_or(0, |server| server.in_flight);
        if self.rng.u32(0..20) == 0 {
            return LoadReport::new(vec![f64::NAN, -4.0]);
        }
        let load = f64::from(in_flight) + self.rng.f64() * 6.0 * self.fleet_slowness;
        LoadReport::new(vec![load, 20.0])
    }
}
