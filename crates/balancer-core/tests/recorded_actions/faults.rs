//! What changes while a simulation runs: faults of servers, discovery and clients, and their end.

use super::schedule::ScheduledEvent;
use super::servers::ServerFault;
use super::simulation::Simulation;
use balancer_core::{EndpointStatus, EndpointUpdate, ServerId};

impl Simulation {
    /// Changes one thing about the fleet, discovery or the clients, and schedules the next change.
    pub fn inject_fault(&mut self) {
        let gap_ms = -(1.0 - self.rng.f64()).ln() * self.scenario.mean_fault_gap_ms;
        self.schedule(gap_ms, ScheduledEvent::Fault);
        let calm_after_ms = 1500.0 + 3.0 * self.scenario.mean_fault_gap_ms * self.rng.f64();
        self.schedule(calm_after_ms, ScheduledEvent::Calm);
        let server = self.draw_server();
        match self.rng.u32(0..20) {
            0..=7 => self.change_server_fault(server),
            8 => self.change_status(server, EndpointStatus::Draining),
            9 | 10 => self.change_status(server, EndpointStatus::Removed),
            11 | 12 => self.restart(server),
            13 => self.join_server(),
            14 => self.fleet_slowness = [1.0, 1.0, 2.5, 6.0, 12.0][self.rng.usize(0..5)],
            15 => self.is_discovery_down = !self.is_discovery_down,
            16 => self.client_timeout_factor = [1.0, 1.0, 0.6, 0.3][self.rng.usize(0..4)],
            17 => self.arrival_rate_factor = [1.0, 1.0, 0.2, 4.0, 12.0][self.rng.usize(0..5)],
            18 => self.send_gossip(server),
            _ => self.publish_all(),
        }
    }

    fn draw_server(&mut self) -> ServerId {
        let position = self.rng.usize(0..self.servers.len());
        *self.servers.keys().nth(position).expect("within the count of servers")
    }

    /// Ends all changes that are not those of a single server.
    pub fn calm(&mut self) {
        self.fleet_slowness = 1.0;
        self.arrival_rate_factor = 1.0;
        self.client_timeout_factor = 1.0;
        self.is_discovery_down = false;
    }

    /// Ends the fault of a server and lists it as serving again.
    pub fn recover(&mut self, id: ServerId) {
        let server = self.server_mut(id);
        server.fault = ServerFault::None;
        if !server.endpoint.is_serving() {
            self.change_status(id, EndpointStatus::Serving);
        }
    }

    fn change_server_fault(&mut self, server: ServerId) {
        let fault = match self.rng.u32(0..10) {
            0 => ServerFault::Slow(2.0 + self.rng.f64() * 6.0),
            1 => ServerFault::Hangs,
            2 => ServerFault::RefusesConnections,
            3 => ServerFault::ReturnsErrors,
            4 => ServerFault::RejectsAll,
            5 => ServerFault::ResetsConnections,
            _ => ServerFault::None,
        };
        self.server_mut(server).fault = fault;
        let recovers_after_ms = 500.0 + 4.0 * self.scenario.mean_fault_gap_ms * self.rng.f64();
        self.schedule(recovers_after_ms, ScheduledEvent::Recovery(server));
    }

    fn change_status(&mut self, id: ServerId, status: EndpointStatus) {
        let server = self.server_mut(id);
        server.endpoint.status = status;
        let endpoint = server.endpoint.clone();
        self.publish(EndpointUpdate::Changes(vec![endpoint]));
        if status != EndpointStatus::Serving {
            let returns_after_ms = 500.0 + 20_000.0 * self.rng.f64();
            self.schedule(returns_after_ms, ScheduledEvent::Recovery(id));
        }
    }

    fn restart(&mut self, id: ServerId) {
        let started_at = Some(self.now);
        let server = self.server_mut(id);
        server.endpoint.started_at = started_at;
        server.fault = ServerFault::None;
        self.change_status(id, EndpointStatus::Serving);
    }

    /// A server that has just started joins the fleet.
    fn join_server(&mut self) {
        let server = self.add_server(Some(self.now));
        self.change_status(server, EndpointStatus::Serving);
    }

    /// A peer sends gossip about a server, or nonsense.
    fn send_gossip(&mut self, server: ServerId) {
        let payload = match self.rng.u32(0..3) {
            0 => vec![1, 2, 3],
            _ => server.0.to_be_bytes().to_vec(),
        };
        self.schedule(1.0, ScheduledEvent::Gossip(payload));
    }

    /// Discovery sends the complete endpoint list.
    pub fn publish_all(&mut self) {
        self.publish(EndpointUpdate::Complete(self.listed_endpoints()));
    }

    fn publish(&mut self, update: EndpointUpdate) {
        let update = if self.is_discovery_down { EndpointUpdate::Failed } else { update };
        self.schedule(5.0, ScheduledEvent::Endpoints(update));
    }
}
