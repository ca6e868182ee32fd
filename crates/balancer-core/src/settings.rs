//! The settings of a balancer, which do not change while the balancer runs.

mod goal;
mod request_class;
mod sources;
mod validation;

pub use goal::{Costs, GoalWeights, Tenant, ValueBasis};
pub use request_class::{DedupScope, Effect, RequestClass};
pub use sources::{DiscoveryMode, EndpointWeights, LoadReportField, LoadReportSource};
pub use validation::SettingsError;

use crate::ids::{ClassId, ZoneId};
use crate::time::Span;

/// All settings of a balancer.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The number of balancers of this service, including this one.
    pub balancer_count: u32,
    /// The zone that this balancer is in.
    pub local_zone: ZoneId,
    /// The request classes, by [`ClassId`].
    pub classes: Vec<RequestClass>,
    /// Whether clients mark their own retries.
    pub clients_mark_retries: bool,
    /// The tenants, by [`TenantId`](crate::TenantId). The list may be empty.
    pub tenants: Vec<Tenant>,
    /// The fraction of its value that a request keeps if its tenant exceeds the tenant's share of the
    /// capacity.
    pub over_share_value: f64,
    /// Whether the value of requests is counted per request or by work.
    pub value_basis: ValueBasis,
    /// The weights of the components of the service's score.
    pub goal: GoalWeights,
    /// The costs of attempts, health checks, connections and wasted work.
    pub costs: Costs,
    /// How the balancer is notified of changes to the endpoint list.
    pub discovery_mode: DiscoveryMode,
    /// The longest interval between two polls of the endpoint list while no watch is open.
    pub max_poll_interval: Span,
    /// Which responses carry load reports.
    pub load_report_source: LoadReportSource,
    /// The fields of a load report, in the order of its values.
    pub load_report_fields: Vec<LoadReportField>,
    /// The meaning of the weights in the endpoint list.
    pub endpoint_weights: EndpointWeights,
    /// Whether a server that has recently served a routing key serves the same key again with less work.
    pub has_key_affinity: bool,
    /// The maximum number of attempts for one request.
    pub max_attempts: u32,
    /// Whether a request may have two attempts in flight at once.
    pub allows_hedging: bool,
    /// Whether [`Action::Cancel`](crate::Action::Cancel) is allowed.
    pub allows_cancel: bool,
    /// Whether [`Action::CheckHealth`](crate::Action::CheckHealth) is allowed.
    pub allows_health_checks: bool,
    /// Whether [`Action::Gossip`](crate::Action::Gossip) is allowed.
    pub allows_gossip: bool,
    /// Whether the `retry_after` of [`Action::Reject`](crate::Action::Reject) is sent to clients.
    pub sends_retry_after: bool,
    /// The longest `retry_after` that clients comply with.
    pub max_retry_after: Span,
    /// How long the balancer may still send attempts to a server after it was notified that the server is
    /// draining or removed. The balancer's decisions do not depend on this.
    pub drain_grace: Span,
    /// The lowest fraction of its full capacity that a server can have at its start.
    pub initial_capacity: f64,
    /// The longest time that a server needs to reach its full capacity after its start.
    pub warm_up_time: Span,
    /// The load that makes a server fail while it is warming up, as a multiple of its current capacity. The
    /// server fails if the load stays above this multiple for `overload_window`.
    pub overload_factor: f64,
    /// How long a load above `overload_factor` must last until a server that is warming up fails.
    pub overload_window: Span,
    /// How long opening a connection may take. An attempt may be written to its connection this long after
    /// the balancer decided to send it.
    pub connect_timeout: Span,
    /// The shortest interval between two events, which is also the resolution of their times.
    pub event_interval: Span,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            balancer_count: 1,
            local_zone: ZoneId(0),
            classes: vec![RequestClass::default()],
            clients_mark_retries: false,
            tenants: Vec::new(),
            over_share_value: 1.0,
            value_basis: ValueBasis::Requests,
            goal: GoalWeights::default(),
            costs: Costs::default(),
            discovery_mode: DiscoveryMode::Pushed,
            max_poll_interval: Span::from_millis(10_000),
            load_report_source: LoadReportSource::None,
            load_report_fields: Vec::new(),
            endpoint_weights: EndpointWeights::Unspecified,
            has_key_affinity: false,
            max_attempts: 3,
            allows_hedging: false,
            allows_cancel: true,
            allows_health_checks: false,
            allows_gossip: false,
            sends_retry_after: false,
            max_retry_after: Span::from_millis(1000),
            drain_grace: Span::from_millis(1000),
            initial_capacity: 0.1,
            warm_up_time: Span::from_millis(20_000),
            overload_factor: 2.0,
            overload_window: Span::from_millis(1000),
            connect_timeout: Span::ZERO,
            event_interval: Span::from_millis(1),
        }
    }
}

impl Settings {
    /// Returns whether the settings contain this request class.
    pub fn has_class(&self, class: ClassId) -> bool {
        class.0 < self.classes.len()
    }

    /// Returns the settings of a request class.
    ///
    /// # Panics
    ///
    /// Panics if the settings do not contain the class.
    pub fn class(&self, class: ClassId) -> &RequestClass {
        &self.classes[class.0]
    }
}
