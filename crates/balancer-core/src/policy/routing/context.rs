//! The state of the balancer that server selection reads.

use crate::policy::fleet::{FleetView, ServerRegistry, ServerState};
use crate::policy::latency::FleetLatency;
use crate::policy::server_load::{LoadPolling, LoadReports};
use crate::policy::slow_start::{capacity_share, SlowStart};
use crate::policy::suspicion::SuspicionTracker;
use crate::units::{CapacityShare, Probability};
use crate::{Settings, Time};

/// Read-only access to the state of the balancer while it selects one server.
#[derive(Clone, Copy)]
pub struct RoutingContext<'a> {
    /// The current time.
    pub now: Time,
    /// The settings of the balancer.
    pub settings: &'a Settings,
    /// All known servers.
    pub fleet: &'a ServerRegistry,
    /// The latencies of request classes and machine kinds.
    pub latency: &'a FleetLatency,
    /// The current admission probability, which also scales the concurrency limits.
    pub admission_probability: Probability,
    /// The recent work and the latencies of warm servers and of servers that are warming up.
    pub slow_start: &'a SlowStart,
    /// Which servers and zones are suspected.
    pub suspicion: &'a SuspicionTracker,
    /// The mean of the reported loads.
    pub load_reports: &'a LoadReports,
    /// Whether candidates are polled for their load.
    pub load_polling: &'a LoadPolling,
}

impl RoutingContext<'_> {
    /// Returns how much of each server's load this balancer can see.
    pub fn view(&self) -> FleetView {
        self.fleet.view()
    }

    /// Returns the share of its full capacity that a server is known to have at the current time.
    pub fn capacity_share(&self, server: &ServerState) -> CapacityShare {
        capacity_share(self.settings, &server.endpoint, self.now)
    }
}
