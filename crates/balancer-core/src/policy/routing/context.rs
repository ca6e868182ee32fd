//! What the choice of a server looks at.

use crate::policy::fleet::{FleetView, ServerRegistry, ServerState};
use crate::policy::latency::FleetLatency;
use crate::policy::server_load::{LoadPolling, LoadReports};
use crate::policy::slow_start::{capacity_share, SlowStart};
use crate::policy::suspicion::SuspicionTracker;
use crate::units::{CapacityShare, Probability};
use crate::{Settings, Time};

/// A read-only view of what the balancer knows, for one choice.
#[derive(Clone, Copy)]
pub struct RoutingContext<'a> {
    pub now: Time,
    pub settings: &'a Settings,
    pub fleet: &'a ServerRegistry,
    pub latency: &'a FleetLatency,
    pub admission: Probability,
    pub slow_start: &'a SlowStart,
    pub suspicion: &'a SuspicionTracker,
    pub load_reports: &'a LoadReports,
    pub load_polling: &'a LoadPolling,
}

impl RoutingContext<'_> {
    /// How much of a server's load this balancer sees.
    pub fn view(&self) -> FleetView {
        self.fleet.view()
    }

    /// The share of its capacity that a server is known to have.
    pub fn capacity_share(&self, server: &ServerState) -> CapacityShare {
        capacity_share(self.settings, &server.endpoint, self.now)
    }
}
