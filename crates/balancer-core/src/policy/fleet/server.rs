//! The state that a balancer keeps for each server.

use crate::policy::concurrency::ConcurrencyLimit;
use crate::policy::latency::ServerLatency;
use crate::policy::outlier::ServerHealth;
use crate::policy::server_load::ReportedLoad;
use crate::policy::slow_start::WarmUpWork;
use crate::policy::suspicion::ServerSuspicion;
use crate::{Endpoint, Time};

/// The state of one server: its endpoint, the number of own attempts in flight, and the state that each
/// component keeps for the server.
pub struct ServerState {
    /// The latest entry of the endpoint list for this server. The status is `Removed` if a complete list did
    /// not contain the server.
    pub endpoint: Endpoint,
    /// Number of this balancer's attempts that are in flight at the server.
    pub in_flight: u32,
    /// The smoothed latency of the server.
    pub latency: ServerLatency,
    /// The limit on own attempts in flight.
    pub limit: ConcurrencyLimit,
    /// The consecutive failures, the last response and the ejection of the server.
    pub health: ServerHealth,
    /// Until when the server is suspected.
    pub suspicion: ServerSuspicion,
    /// The load in the server's last report.
    pub reported_load: ReportedLoad,
    /// The work that the server was recently sent while it was warming up.
    pub warm_up_work: WarmUpWork,
    /// When an update of the endpoint list first showed the server as removed; `None` if the server is not
    /// removed.
    pub(super) removed_at: Option<Time>,
}

impl ServerState {
    /// Creates the state of a server of which only the endpoint is known.
    pub fn new(endpoint: Endpoint, now: Time) -> Self {
        ServerState {
            endpoint,
            in_flight: 0,
            latency: ServerLatency::default(),
            limit: ConcurrencyLimit::new(now),
            health: ServerHealth::new(now),
            suspicion: ServerSuspicion::new(now),
            reported_load: ReportedLoad::default(),
            warm_up_work: WarmUpWork::default(),
            removed_at: None,
        }
    }

    /// Resets the state after the server has started a new process. Estimates of the previous process do not
    /// hold for the new one, but attempts that were sent to the previous process may still be in flight.
    pub(super) fn restart(&mut self, endpoint: Endpoint, now: Time) {
        let in_flight = self.in_flight;
        let health = self.health.restarted();
        *self = ServerState { in_flight, health, ..ServerState::new(endpoint, now) };
    }
}
