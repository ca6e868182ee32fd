//! The settings of a balancer, fixed at its start.

use crate::ids::{ClassId, ZoneId};
use crate::time::Span;

/// What repeating a request would do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum Effect {
    /// Nothing: it is safe to repeat.
    #[default]
    Idempotent,
    /// The request carries an idempotency key, by which servers drop a repeat.
    Deduplicated {
        /// Which servers share their record of keys.
        scope: DedupScope,
        /// For how long they drop repeats, from the send of the first attempt that may have run.
        window: Span,
    },
    /// A second effect: it must not run twice.
    AtMostOnce,
}

/// The servers that share a record of idempotency keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DedupScope {
    /// All servers.
    Fleet,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestClass {
    /// What a repeat would do.
    pub effect: Effect,
    /// The latency objective: an answer within it has its full value.
    pub latency_objective: Span,
    /// The objective grows by this multiple of the request's own work, up to the deadline. Not used by
    /// decisions.
    pub objective_stretch: f64,
    /// How long a client waits in all, over all its retries.
    pub deadline: Span,
    /// The value of a request that is answered within its objective.
    pub priority_weight: f64,
    /// The share of that value which an answer between objective and deadline keeps.
    pub late_value: f64,
    /// The answer is a stream, announced by [`Event::FirstByte`](crate::Event::FirstByte).
    pub is_streaming: bool,
}

impl Default for RequestClass {
    fn default() -> Self {
        RequestClass {
            effect: Effect::Idempotent,
            latency_objective: Span::from_millis(500),
            objective_stretch: 0.0,
            deadline: Span::from_millis(1000),
            priority_weight: 1.0,
            late_value: 0.0,
            is_streaming: false,
        }
    }
}

/// A tenant with a share of the service.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Tenant {
    /// Its share of the service, as a fraction.
    pub share: f64,
    /// Requests a second, over all balancers, that lie within its share. Not used by decisions.
    pub quota_per_s: f64,
}

/// A value of a server's load report, in the order that [`Settings::load_report_fields`] gives.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LoadReportField {
    /// Requests that the server holds.
    InFlight,
    /// Requests that wait in the server.
    QueueLength,
    /// The busy share of its cores.
    Utilisation,
    /// Its recent service time in milliseconds, without waiting.
    ServiceTime,
    /// Requests it answers a second.
    RequestRate,
    /// Errors a second.
    ErrorRate,
    /// A value that balancers have no use for.
    Unknown,
}

/// How the balancer learns of changes to the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum DiscoveryMode {
    /// Changes come by themselves.
    #[default]
    Pushed,
    /// Changes come only while a watch is open; see
    /// [`Action::WatchEndpoints`](crate::Action::WatchEndpoints).
    OnRequest,
}

/// Where load reports come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum LoadReportSource {
    /// There are none.
    #[default]
    None,
    /// With the answers to attempts and health checks.
    Responses,
    /// With the answers to health checks only.
    HealthChecks,
}

/// The meaning of [`Endpoint::weight`](crate::Endpoint::weight).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum EndpointWeights {
    /// Weights say nothing.
    #[default]
    Unspecified,
    /// The size of the machine, exactly or roughly.
    Size,
    /// The size divided by the load of a while ago.
    SizeOverLoad,
}

/// What the value of a request is counted by.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum ValueBasis {
    /// Each request counts once.
    #[default]
    Requests,
    /// Each request counts by its work.
    Work,
}

/// How the service weighs its results; the parts need not add up to one.
#[derive(Debug, Clone, PartialEq)]
pub struct GoalWeights {
    /// All requests together.
    pub overall: f64,
    /// The worst stretch of time.
    pub worst_window: f64,
    /// The class that is served worst.
    pub worst_class: f64,
    /// The tenant that is served worst within its share.
    pub worst_tenant: f64,
}

impl Default for GoalWeights {
    fn default() -> Self {
        GoalWeights { overall: 1.0, worst_window: 0.0, worst_class: 0.0, worst_tenant: 0.0 }
    }
}

/// What things cost: the share of the result that is lost to one of each per request.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Costs {
    /// An attempt that leaves the balancer's zone.
    pub cross_zone: f64,
    /// A health check.
    pub health_check: f64,
    /// A new connection.
    pub handshake: f64,
    /// An open connection, per hundred servers. Not used by decisions.
    pub connection: f64,
    /// Work of a server that served no answer.
    pub wasted_work: f64,
    /// A request that ends unserved after its objective. Not used by decisions.
    pub late_failure: f64,
}

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
    /// A server that has lately served a routing key serves it with less work.
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
    /// The longest `retry_after` that a client heeds.
    pub max_retry_after: Span,
    /// Nothing new may go to a draining or removed server this long after the balancer was notified.
    pub drain_grace: Span,
    /// A server starts with this share of its capacity or more.
    pub initial_capacity: f64,
    /// A server has its full capacity this long after its start.
    pub warm_up_time: Span,
    /// A server that is warming up fails when sent more than this multiple of its present capacity ...
    pub overload_factor: f64,
    /// ... for this long.
    pub overload_window: Span,
    /// An attempt is written up to this long after it is decided, for its connection may have to be opened.
    pub connect_timeout: Span,
    /// Events come at most this often.
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

    /// Rejects settings that no balancer can work with.
    ///
    /// # Errors
    ///
    /// The first setting that is missing or out of range.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if self.max_attempts == 0 {
            return Err(SettingsError::NoAttempts);
        }
        for class in &self.classes {
            if class.latency_objective == Span::ZERO {
                return Err(SettingsError::ZeroSpan { setting: "aim" });
            }
            if class.deadline == Span::ZERO {
                return Err(SettingsError::ZeroSpan { setting: "deadline" });
            }
        }
        let numbers = [("cold_share", self.initial_capacity), ("overload_factor", self.overload_factor)];
        let weights = self.classes.iter().map(|class| ("worth", class.priority_weight));
        for (setting, value) in numbers.into_iter().chain(weights) {
            if !value.is_finite() || value < 0.0 {
                return Err(SettingsError::BadNumber { setting, value });
            }
        }
        Ok(())
    }
}

/// Settings that no balancer can work with. Messages name the settings as the operators' pages do.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[non_exhaustive]
pub enum SettingsError {
    /// There must be at least one class.
    #[error("settings name no request class; at least one is needed")]
    NoClasses,
    /// A number that must be finite and not negative is not.
    #[error("setting {setting} is {value}; a finite number of zero or more is needed")]
    BadNumber {
        /// Which setting.
        setting: &'static str,
        /// What it was.
        value: f64,
    },
    /// A length of time that must be above zero is zero.
    #[error("setting {setting} is zero; it must be longer")]
    ZeroSpan {
        /// Which setting.
        setting: &'static str,
    },
    /// A request needs at least one attempt.
    #[error("settings allow no attempt for a request; at least one is needed")]
    NoAttempts,
}
