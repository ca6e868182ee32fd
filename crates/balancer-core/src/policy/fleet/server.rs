//! What a balancer keeps of one server.

use crate::policy::concurrency::ConcurrencyLimit;
use crate::policy::latency::ServerLatency;
use crate::policy::outlier::ServerHealth;
use crate::policy::server_load::ReportedLoad;
use crate::policy::slow_start::WarmUpWork;
use crate::policy::suspicion::ServerSuspicion;
use crate::{Endpoint, Time};

/// The record of one server: its endpoint, the own attempts it holds, and what each concern keeps of it.
pub struct ServerState {
    pub endpoint: Endpoint,
    /// Own attempts in flight.
    pub in_flight: u32,
    pub latency: ServerLatency,
    pub limit: ConcurrencyLimit,
    pub health: ServerHealth,
    pub suspicion: ServerSuspicion,
    pub reported_load: ReportedLoad,
    pub warm_up_work: WarmUpWork,
    /// When the endpoint list was first seen without it.
    pub(super) removed_at: Option<Time>,
}

impl ServerState {
    /// A server of which nothing is known but its endpoint.
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

    /// Forgets the previous process: nothing that was learned of it holds for the new one, but its attempts
    /// may still be in flight.
    pub(super) fn restart(&mut self, endpoint: Endpoint, now: Time) {
        let in_flight = self.in_flight;
        let health = self.health.restarted();
        *self = ServerState { in_flight, health, ..ServerState::new(endpoint, now) };
    }
}
