//! Simulated servers and their responses to attempts and health checks.

use super::scenarios::Scenario;
use balancer_core::{
    CellId, Endpoint, EndpointStatus, LoadReport, MachineKindId, Outcome, ServerId, Time, ZoneId,
};
use std::collections::BTreeMap;

/// A fault of a server.
#[derive(Clone, Copy, PartialEq)]
pub enum ServerFault {
    /// The server works normally.
    None,
    /// The server is slower by this factor.
    Slow(f64),
    /// The server never responds.
    Hangs,
    /// The server refuses connections.
    RefusesConnections,
    /// The server responds to every attempt with an error.
    ReturnsErrors,
    /// The server rejects every attempt.
    RejectsAll,
    /// The server resets the connection before it responds.
    ResetsConnections,
}

/// A simulated server.
struct Server {
    endpoint: Endpoint,
    /// The number of attempts in flight at the server.
    in_flight: u32,
    fault: ServerFault,
}

/// How and when an attempt ends, unless it is cancelled earlier.
pub struct ServerResponse {
    /// How the attempt ends.
    pub outcome: Outcome,
    /// The time from the start to the end of the attempt.
    pub elapsed_ms: f64,
}

impl ServerResponse {
    /// Returns this response, or a timeout if the response takes `timeout_ms` or longer.
    pub fn or_timeout(self, timeout_ms: f64) -> Self {
        if self.elapsed_ms < timeout_ms {
            self
        } else {
            ServerResponse { outcome: Outcome::TimedOut, elapsed_ms: timeout_ms }
        }
    }
}

impl Server {
    /// Returns the response to an attempt that would take `service_ms` at a server without a fault.
    fn respond(&self, service_ms: f64) -> ServerResponse {
        let (outcome, elapsed_ms) = match self.fault {
            ServerFault::None => (Outcome::Success, service_ms),
            ServerFault::Slow(factor) => (Outcome::Success, service_ms * factor),
            ServerFault::Hangs => (Outcome::TimedOut, f64::INFINITY),
            ServerFault::RefusesConnections => (Outcome::ConnectFailed, 3.0),
            ServerFault::ReturnsErrors => (Outcome::ServerError, 4.0),
            ServerFault::RejectsAll => (Outcome::Rejected, 2.0),
            ServerFault::ResetsConnections => (Outcome::ConnectionReset, 0.4 * service_ms),
        };
        ServerResponse { outcome, elapsed_ms }
    }
}

/// All servers of a simulation.
pub struct Fleet {
    /// The factor by which every server is slower than normal. The factor also raises the reported loads.
    pub slowdown_factor: f64,
    servers: BTreeMap<ServerId, Server>,
    /// The id of the next server that is added.
    next_server: u32,
    zone_count: u32,
    machine_kind_count: u32,
    /// The time that an unloaded server without a fault takes for an attempt, on machine kind 0.
    base_latency_ms: f64,
}

impl Fleet {
    /// Creates a fleet without servers.
    pub fn new(scenario: &Scenario) -> Self {
        Fleet {
            slowdown_factor: 1.0,
            servers: BTreeMap::new(),
            next_server: 0,
            zone_count: scenario.zone_count,
            machine_kind_count: scenario.machine_kind_count,
            base_latency_ms: scenario.base_latency_ms,
        }
    }

    /// Adds a serving server and returns its id.
    pub fn add_server(&mut self, started_at: Option<Time>) -> ServerId {
        let number = self.next_server;
        self.next_server += 1;
        let id = ServerId(number);
        let endpoint = Endpoint {
            zone: ZoneId(number % self.zone_count),
            machine_kind: MachineKindId(number % self.machine_kind_count),
            cell: CellId(number % self.zone_count),
            weight: 1.0 + f64::from(number % 3),
            started_at,
            ..Endpoint::serving(id)
        };
        self.servers.insert(id, Server { endpoint, in_flight: 0, fault: ServerFault::None });
        id
    }

    fn server_mut(&mut self, id: ServerId) -> &mut Server {
        self.servers.get_mut(&id).expect("the server should have been added")
    }

    /// Returns the endpoint of a server.
    pub fn endpoint(&self, id: ServerId) -> &Endpoint {
        &self.servers[&id].endpoint
    }

    /// Returns the endpoint list as discovery publishes it.
    pub fn listed_endpoints(&self) -> Vec<Endpoint> {
        let endpoints = self.servers.values().map(|server| &server.endpoint);
        endpoints.filter(|endpoint| endpoint.status != EndpointStatus::Removed).cloned().collect()
    }

    /// Draws a random server, which may be draining or removed.
    pub fn draw_server(&self, rng: &mut fastrand::Rng) -> ServerId {
        let position = rng.usize(0..self.servers.len());
        *self.servers.keys().nth(position).expect("the position should be below the number of servers")
    }

    /// Sets the fault of a server.
    pub fn set_fault(&mut self, id: ServerId, fault: ServerFault) {
        self.server_mut(id).fault = fault;
    }

    /// Sets the status of a server in the endpoint list.
    pub fn set_status(&mut self, id: ServerId, status: EndpointStatus) {
        self.server_mut(id).endpoint.status = status;
    }

    /// Restarts a server's process. The new process does not have the fault of the old one.
    pub fn restart(&mut self, id: ServerId, now: Time) {
        let server = self.server_mut(id);
        server.endpoint.started_at = Some(now);
        server.fault = ServerFault::None;
    }

    /// Starts an attempt at a server and returns the server's response to it.
    pub fn start_attempt(&mut self, id: ServerId, rng: &mut fastrand::Rng) -> ServerResponse {
        let noise = 0.5 + rng.f64();
        let latency_ms = self.base_latency_ms * self.slowdown_factor;
        let server = self.server_mut(id);
        server.in_flight += 1;
        let load_factor = 1.0 + f64::from(server.in_flight) / 8.0;
        let machine_factor = 1.0 + 0.7 * f64::from(server.endpoint.machine_kind.0);
        server.respond(latency_ms * machine_factor * load_factor * noise)
    }

    /// Ends an attempt at a server.
    pub fn end_attempt(&mut self, id: ServerId) {
        self.server_mut(id).in_flight -= 1;
    }

    /// Returns whether a server responds to health checks.
    pub fn responds_to_health_checks(&self, id: ServerId) -> bool {
        self.servers[&id].fault != ServerFault::Hangs
    }

    /// Draws a load report of a server. One report in twenty is invalid.
    pub fn draw_load_report(&self, id: ServerId, rng: &mut fastrand::Rng) -> LoadReport {
        if rng.u32(0..20) == 0 {
            return LoadReport::new(vec![f64::NAN, -4.0]);
        }
        let in_flight = self.servers[&id].in_flight;
        let load = f64::from(in_flight) + rng.f64() * 6.0 * self.slowdown_factor;
        LoadReport::new(vec![load, 20.0])
    }
}
