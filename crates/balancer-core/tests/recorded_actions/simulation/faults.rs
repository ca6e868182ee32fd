//! Faults of servers, discovery and clients during a simulation, and their end.

use super::super::fleet::ServerFault;
use super::super::schedule::ScheduledEvent;
use super::Simulation;
use balancer_core::{EndpointStatus, EndpointUpdate, ServerId};

/// The values of [`Fleet::slowness`](super::super::fleet::Fleet::slowness), all equally likely.
const FLEET_SLOWNESSES: [f64; 5] = [1.0, 1.0, 2.5, 6.0, 12.0];
/// The fractions of their class's timeout that clients wait, all equally likely.
const TIMEOUT_FACTORS: [f64; 4] = [1.0, 1.0, 0.6, 0.3];
/// The factors of the arrival rate, all equally likely.
const ARRIVAL_RATE_FACTORS: [f64; 5] = [1.0, 1.0, 0.2, 4.0, 12.0];

impl Simulation {
    /// Changes one thing about the fleet, discovery or the clients, and schedules the next change.
    pub(super) fn inject_fault(&mut self) {
        let gap_ms = self.context.draw_gap_ms(self.scenario.mean_fault_gap_ms);
        self.context.schedule_after(gap_ms, ScheduledEvent::Fault);
        let calm_after_ms = 1500.0 + 3.0 * self.scenario.mean_fault_gap_ms * self.context.rng.f64();
        self.context.schedule_after(calm_after_ms, ScheduledEvent::Calm);
        let server = self.fleet.draw_server(&mut self.context.rng);
        match self.context.rng.u32(0..20) {
            0..=7 => self.change_server_fault(server),
            8 => self.change_status(server, EndpointStatus::Draining),
            9 | 10 => self.change_status(server, EndpointStatus::Removed),
            11 | 12 => self.restart(server),
            13 => self.join_server(),
            14 => self.fleet.slowness = self.draw_factor(&FLEET_SLOWNESSES),
            15 => self.is_discovery_down = !self.is_discovery_down,
            16 => self.clients.timeout_factor = self.draw_factor(&TIMEOUT_FACTORS),
            17 => self.clients.arrival_rate_factor = self.draw_factor(&ARRIVAL_RATE_FACTORS),
            18 => self.send_gossip(server),
            _ => self.publish_all(),
        }
    }

    fn draw_factor(&mut self, factors: &[f64]) -> f64 {
        factors[self.context.rng.usize(0..factors.len())]
    }

    /// Ends all faults but those of single servers.
    pub(super) fn end_common_faults(&mut self) {
        self.fleet.slowness = 1.0;
        self.clients.arrival_rate_factor = 1.0;
        self.clients.timeout_factor = 1.0;
        self.is_discovery_down = false;
    }

    /// Ends the fault of a server and lists the server as serving again.
    pub(super) fn recover(&mut self, server: ServerId) {
        self.fleet.set_fault(server, ServerFault::None);
        if !self.fleet.endpoint(server).is_serving() {
            self.change_status(server, EndpointStatus::Serving);
        }
    }

    fn change_server_fault(&mut self, server: ServerId) {
        let rng = &mut self.context.rng;
        let fault = match rng.u32(0..10) {
            0 => ServerFault::Slow(2.0 + rng.f64() * 6.0),
            1 => ServerFault::Hangs,
            2 => ServerFault::RefusesConnections,
            3 => ServerFault::ReturnsErrors,
            4 => ServerFault::RejectsAll,
            5 => ServerFault::ResetsConnections,
            _ => ServerFault::None,
        };
        self.fleet.set_fault(server, fault);
        let recovers_after_ms = 500.0 + 4.0 * self.scenario.mean_fault_gap_ms * rng.f64();
        self.context.schedule_after(recovers_after_ms, ScheduledEvent::Recovery(server));
    }

    fn change_status(&mut self, server: ServerId, status: EndpointStatus) {
        self.fleet.set_status(server, status);
        let endpoint = self.fleet.endpoint(server).clone();
        self.publish(EndpointUpdate::Changes(vec![endpoint]));
        if status != EndpointStatus::Serving {
            let returns_after_ms = 500.0 + 20_000.0 * self.context.rng.f64();
            self.context.schedule_after(returns_after_ms, ScheduledEvent::Recovery(server));
        }
    }

    fn restart(&mut self, server: ServerId) {
        self.fleet.restart(server, self.context.now());
        self.change_status(server, EndpointStatus::Serving);
    }

    /// Adds a server that has just started.
    fn join_server(&mut self) {
        let server = self.fleet.add_server(Some(self.context.now()));
        self.change_status(server, EndpointStatus::Serving);
    }

    /// Sends gossip about a server, or an invalid payload.
    fn send_gossip(&mut self, server: ServerId) {
        let payload = match self.context.rng.u32(0..3) {
            0 => vec![1, 2, 3],
            _ => server.0.to_be_bytes().to_vec(),
        };
        self.context.schedule_after(1.0, ScheduledEvent::Gossip(payload));
    }
}
