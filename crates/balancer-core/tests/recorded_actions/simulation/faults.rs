//! Random faults and changes of servers, discovery and clients during a simulation.

use super::super::fleet::ServerFault;
use super::super::schedule::ScheduledEvent;
use super::Simulation;
use balancer_core::{EndpointStatus, EndpointUpdate, ServerId};

/// The values that [`Fleet::slowdown_factor`](super::super::fleet::Fleet::slowdown_factor) can change to.
/// Each entry is equally likely.
const FLEET_SLOWDOWN_FACTORS: [f64; 5] = [1.0, 1.0, 2.5, 6.0, 12.0];
/// The values that [`Clients::timeout_fraction`](super::super::clients::Clients::timeout_fraction) can change
/// to. Each entry is equally likely.
const TIMEOUT_FRACTIONS: [f64; 4] = [1.0, 1.0, 0.6, 0.3];
/// The values that [`Clients::arrival_rate_factor`](super::super::clients::Clients::arrival_rate_factor) can
/// change to. Each entry is equally likely.
const ARRIVAL_RATE_FACTORS: [f64; 5] = [1.0, 1.0, 0.2, 4.0, 12.0];

impl Simulation {
    /// Injects a random fault or change into the fleet, discovery or the clients.
    ///
    /// Schedules the next fault, and the end of all global faults: those that do not belong to a single
    /// server.
    pub(super) fn inject_fault(&mut self) {
        let gap_ms = self.context.draw_gap_ms(self.scenario.mean_fault_gap_ms);
        self.context.schedule_after(gap_ms, ScheduledEvent::Fault);
        let fault_duration_ms = 1500.0 + 3.0 * self.scenario.mean_fault_gap_ms * self.context.rng.f64();
        self.context.schedule_after(fault_duration_ms, ScheduledEvent::GlobalFaultEnd);
        let server = self.fleet.draw_server(&mut self.context.rng);
        match self.context.rng.u32(0..20) {
            0..=7 => self.change_server_fault(server),
            8 => self.change_status(server, EndpointStatus::Draining),
            9 | 10 => self.change_status(server, EndpointStatus::Removed),
            11 | 12 => self.restart(server),
            13 => self.add_started_server(),
            14 => self.fleet.slowdown_factor = self.draw_value(&FLEET_SLOWDOWN_FACTORS),
            15 => self.is_discovery_down = !self.is_discovery_down,
            16 => self.clients.timeout_fraction = self.draw_value(&TIMEOUT_FRACTIONS),
            17 => self.clients.arrival_rate_factor = self.draw_value(&ARRIVAL_RATE_FACTORS),
            18 => self.send_gossip(server),
            _ => self.publish_complete_list(),
        }
    }

    /// Draws a random entry of `values`.
    fn draw_value(&mut self, values: &[f64]) -> f64 {
        values[self.context.rng.usize(0..values.len())]
    }

    /// Ends all faults except those of single servers.
    pub(super) fn end_global_faults(&mut self) {
        self.fleet.slowdown_factor = 1.0;
        self.clients.arrival_rate_factor = 1.0;
        self.clients.timeout_fraction = 1.0;
        self.is_discovery_down = false;
    }

    /// Ends the fault of a server and lists the server as serving again.
    pub(super) fn recover(&mut self, server: ServerId) {
        self.fleet.set_fault(server, ServerFault::None);
        if !self.fleet.endpoint(server).is_serving() {
            self.change_status(server, EndpointStatus::Serving);
        }
    }

    /// Draws a new fault for a server, or none, and schedules the server's recovery.
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
        let recovery_delay_ms = 500.0 + 4.0 * self.scenario.mean_fault_gap_ms * rng.f64();
        self.context.schedule_after(recovery_delay_ms, ScheduledEvent::Recovery(server));
    }

    /// Changes the status of a server and publishes the change. Schedules the server's recovery, unless the
    /// server is serving.
    fn change_status(&mut self, server: ServerId, status: EndpointStatus) {
        self.fleet.set_status(server, status);
        let endpoint = self.fleet.endpoint(server).clone();
        self.publish_update(EndpointUpdate::Changes(vec![endpoint]));
        if status != EndpointStatus::Serving {
            let recovery_delay_ms = 500.0 + 20_000.0 * self.context.rng.f64();
            self.context.schedule_after(recovery_delay_ms, ScheduledEvent::Recovery(server));
        }
    }

    /// Restarts a server and lists it as serving.
    fn restart(&mut self, server: ServerId) {
        self.fleet.restart(server, self.context.now());
        self.change_status(server, EndpointStatus::Serving);
    }

    /// Adds a server that has just started and lists it as serving.
    fn add_started_server(&mut self) {
        let server = self.fleet.add_server(Some(self.context.now()));
        self.change_status(server, EndpointStatus::Serving);
    }

    /// Sends the balancer a gossip message about a server, or an invalid one.
    fn send_gossip(&mut self, server: ServerId) {
        let payload = match self.context.rng.u32(0..3) {
            0 => vec![1, 2, 3],
            _ => server.0.to_be_bytes().to_vec(),
        };
        self.context.schedule_after(1.0, ScheduledEvent::Gossip(payload));
    }
}
