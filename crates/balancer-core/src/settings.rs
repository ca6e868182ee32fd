//! The settings of a balancer, fixed at its start.

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
    /// Number of balancers of this service, this one included.
    pub balancer_count: u32,
    /// The zone that this balancer is in.
    pub local_zone: ZoneId,
    /// The request classes.
    pub classes: Vec<RequestClass>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// The part of its value that a request over its tenant's share keeps.
    pub over_share_value: f64,
    /// What values are counted by.
    pub value_basis: ValueBasis,
    /// How results are weighed.
    pub goal: GoalWeights,
    /// What things cost.
    pub costs: Costs,
    /// How changes of the endpoint list arrive.
    pub discovery_mode: DiscoveryMode,
    /// Without a watch the endpoint list must be asked for at least this often.
    pub max_poll_interval: Span,
    /// Where load reports come from.
    pub load_report_source: LoadReportSource,
    /// What a load report holds, in order.
    pub load_report_fields: Vec<LoadReportField>,
    /// What the weights of endpoints mean.
    pub endpoint_weights: EndpointWeights,
    /// A server that has recently served a routing key serves it with less work.
    pub has_key_affinity: bool,
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// A request may have two attempts in flight at once.
    pub allows_hedging: bool,
    /// [`Action::Cancel`](crate::Action::Cancel) is allowed.
    pub allows_cancel: bool,
    /// [`Action::CheckHealth`](crate::Action::CheckHealth) is allowed.
    pub allows_health_checks: bool,
    /// [`Action::Gossip`](crate::Action::Gossip) is allowed.
    pub allows_gossip: bool,
    /// Clients are passed the `retry_after` of [`Action::Reject`](crate::Action::Reject).
    pub sends_retry_after: bool,
    /// The longest `retry_after` that clients follow.
    pub max_retry_after: Span,
    /// Nothing new may be sent to a draining or removed server this long after the balancer was notified.
    pub drain_grace: Span,
    /// The lowest share of its capacity that a server starts with.
    pub initial_capacity: f64,
    /// The longest time that a server takes from its start to its full capacity.
    pub warm_up_time: Span,
    /// A server that is warming up fails when sent more than this multiple of its present capacity ...
    pub overload_factor: f64,
    /// ... for this long.
    pub overload_window: Span,
    /// How long opening a connection may take, and so how much later than decided an attempt may be written.
    pub connect_timeout: Span,
    /// The shortest interval between two events; times are only as exact as this.
    pub event_interval: Span,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            balancer_count: 1,
            local_zone: ZoneId(0),
            classes: vec![RequestClass::default()],
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
    /// Whether there is such a request class.
    pub fn has_class(&self, class: ClassId) -> bool {
        class.0 < self.classes.len()
    }

    /// The settings of a request class.
    ///
    /// # Panics
    ///
    /// If there is no such class.
    pub fn class(&self, class: ClassId) -> &RequestClass {
        &self.classes[class.0]
    }
}
