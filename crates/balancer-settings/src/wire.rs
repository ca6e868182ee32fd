//! The JSON form of the settings. Absent keys have defaults, and unknown keys are ignored.
//!
//! A field or variant without a comment has the same meaning as the one of that name in
//! [`balancer_core::Settings`], in one of the types that it contains, or in
//! [`HostSettings`](crate::HostSettings). Fields whose names end in `_ms` are in milliseconds.

use serde::Deserialize;

/// The settings object, as read from JSON. The object can be converted into [`balancer_core::Settings`] and
/// into [`HostSettings`](crate::HostSettings).
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct WireSettings {
    #[serde(rename = "balancers")]
    pub(crate) balancer_count: Option<u32>,
    pub(crate) classes: Vec<WireClass>,
    pub(crate) client_habits: WireClientHabits,
    /// Converted into [`Settings::discovery_mode`](balancer_core::Settings::discovery_mode).
    pub(crate) discovery: Option<WireDiscovery>,
    /// Properties of the service that decisions depend on.
    #[serde(rename = "familyInfo")]
    pub(crate) service_traits: WireServiceTraits,
    /// The source and fields of load reports.
    pub(crate) feedback: WireFeedback,
    pub(crate) goal: WireGoal,
    /// Limits, and the features that operators permit.
    pub(crate) limits: WireLimits,
    #[serde(rename = "overShareWorth")]
    pub(crate) over_share_value: Option<f64>,
    #[serde(rename = "parties")]
    pub(crate) tenants: Vec<WireTenant>,
    /// Converted into [`Settings::costs`](balancer_core::Settings::costs).
    pub(crate) penalties: WirePenalties,
    #[serde(rename = "periodMs")]
    pub(crate) event_interval_ms: Option<f64>,
    /// Parameters of the rules that a balancer must obey.
    pub(crate) rules: WireRules,
    /// Converted into [`Settings::endpoint_weights`](balancer_core::Settings::endpoint_weights).
    pub(crate) weights: Option<WireWeights>,
    #[serde(rename = "worthBy")]
    pub(crate) value_basis: Option<WireValueBasis>,
    /// Converted into [`Settings::local_zone`](balancer_core::Settings::local_zone).
    pub(crate) zone: u32,
    #[serde(rename = "zones")]
    pub(crate) zone_names: Vec<String>,
    #[serde(rename = "kinds")]
    pub(crate) machine_kind_names: Vec<String>,
}

/// The settings of a request class.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub(crate) struct WireClass {
    #[serde(rename = "aimStretch")]
    pub(crate) objective_stretch: Option<f64>,
    #[serde(rename = "aimMs")]
    pub(crate) latency_objective_ms: f64,
    /// Converted into [`RequestClass::timeout`](balancer_core::RequestClass::timeout).
    pub(crate) deadline_ms: f64,
    pub(crate) effect: WireEffect,
    /// The name of the class.
    pub(crate) name: String,
    /// The scope of a deduplicated class; see [`DedupScope`](balancer_core::DedupScope).
    #[serde(rename = "group")]
    pub(crate) dedup_scope: Option<WireDedupScope>,
    #[serde(rename = "lateWorth")]
    pub(crate) late_value: f64,
    #[serde(rename = "stream")]
    pub(crate) is_streaming: bool,
    /// How long servers recognise retries of a deduplicated class; see [`Effect`](balancer_core::Effect).
    pub(crate) dedup_window_ms: f64,
    #[serde(rename = "points")]
    pub(crate) priority_weight: f64,
}

/// The habits of clients.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WireClientHabits {
    #[serde(rename = "marksRetry")]
    pub(crate) clients_mark_retries: bool,
}

/// The effect of processing a request twice.
#[derive(Debug, Default, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum WireEffect {
    Idempotent,
    Deduplicated,
    #[default]
    AtMostOnce,
}

/// The servers that share a record of idempotency keys.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum WireDedupScope {
    /// All servers share one record.
    All,
    /// The servers of each zone share a record.
    Zone,
    /// The servers of each cell share a record.
    Cell,
}

/// How the balancer is notified of changes to the endpoint list.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum WireDiscovery {
    Pushed,
    OnRequest,
}

/// The meaning of the weights in the endpoint list.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum WireWeights {
    /// The weights have no meaning.
    Silent,
    /// The weight is the exact size of the machine.
    Nominal,
    /// The weight is the approximate size of the machine.
    Rough,
    /// The weight is the size of the machine divided by a past value of its load.
    Live,
}

/// The quantity by which the value of requests is counted.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum WireValueBasis {
    Request,
    Work,
}

/// Properties of the service that decisions depend on.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WireServiceTraits {
    #[serde(rename = "warmKeys")]
    pub(crate) has_key_affinity: bool,
}

/// The source and fields of load reports.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WireFeedback {
    /// The names of the fields of a load report, in the order of its values.
    pub(crate) fields: Vec<String>,
    /// Which responses carry load reports.
    pub(crate) source: WireFeedbackSource,
}

/// Which responses carry load reports.
#[derive(Debug, Default, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum WireFeedbackSource {
    /// Responses to attempts and to health checks.
    Piggyback,
    /// Responses to health checks only.
    Pull,
    /// No responses: servers send no load reports.
    #[default]
    Silent,
}

/// The weights of the components of the service's score.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub(crate) struct WireGoal {
    #[serde(rename = "whole")]
    pub(crate) overall: f64,
    pub(crate) worst_class: f64,
    pub(crate) worst_tenant: f64,
    pub(crate) worst_window: f64,
}

/// Limits, and the features that operators permit.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub(crate) struct WireLimits {
    #[serde(rename = "cancel")]
    pub(crate) allows_cancel: bool,
    pub(crate) max_attempts: Option<u32>,
    pub(crate) connect_timeout_ms: Option<f64>,
    pub(crate) keepalive_ms: Option<f64>,
    pub(crate) max_retry_after_ms: f64,
    #[serde(rename = "peers")]
    pub(crate) allows_gossip: bool,
    #[serde(rename = "probes")]
    pub(crate) allows_health_checks: bool,
    #[serde(rename = "retryAfter")]
    pub(crate) sends_retry_after: bool,
    #[serde(rename = "secondCopies")]
    pub(crate) allows_hedging: bool,
}

/// A tenant and its share of the capacity.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WireTenant {
    #[serde(rename = "allowancePerS")]
    pub(crate) quota_per_s: f64,
    #[serde(rename = "fraction")]
    pub(crate) share: f64,
    /// The name of the tenant.
    pub(crate) name: String,
}

/// The costs of operations, as deductions from the score.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub(crate) struct WirePenalties {
    pub(crate) connection: f64,
    pub(crate) cross_zone: f64,
    pub(crate) handshake: f64,
    #[serde(rename = "lateFail")]
    pub(crate) late_failure: f64,
    #[serde(rename = "probe")]
    pub(crate) health_check: f64,
    #[serde(rename = "waste")]
    pub(crate) wasted_work: f64,
}

/// Parameters of the rules that a balancer must obey.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WireRules {
    #[serde(rename = "askWithinMs")]
    pub(crate) max_poll_interval_ms: Option<f64>,
    #[serde(rename = "coldShare")]
    pub(crate) initial_capacity: Option<f64>,
    #[serde(rename = "warmAfterMs")]
    pub(crate) warm_up_time_ms: Option<f64>,
    #[serde(rename = "stopSendingWithinMs")]
    pub(crate) drain_grace_ms: Option<f64>,
    #[serde(rename = "overloadFactor")]
    pub(crate) overload_factor: Option<f64>,
    #[serde(rename = "fallMs")]
    pub(crate) overload_window_ms: Option<f64>,
}
