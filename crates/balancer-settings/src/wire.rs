//! The JSON form of the settings. Absent keys have defaults, and unknown keys are ignored.

use serde::Deserialize;

/// The settings object in JSON. It converts into [`balancer_core::Settings`] and
/// [`HostSettings`](crate::HostSettings).
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct WireSettings {
    #[serde(rename = "balancers")]
    pub(crate) balancer_count: Option<u32>,
    pub(crate) classes: Vec<WireClass>,
    pub(crate) discovery: Option<WireDiscovery>,
    #[serde(rename = "familyInfo")]
    pub(crate) service_traits: WireServiceTraits,
    pub(crate) feedback: WireFeedback,
    pub(crate) goal: WireGoal,
    pub(crate) limits: WireLimits,
    #[serde(rename = "overShareWorth")]
    pub(crate) over_share_value: Option<f64>,
    #[serde(rename = "parties")]
    pub(crate) tenants: Vec<WireTenant>,
    pub(crate) penalties: WirePenalties,
    #[serde(rename = "periodMs")]
    pub(crate) event_interval_ms: Option<f64>,
    pub(crate) rules: WireRules,
    pub(crate) weights: Option<WireWeights>,
    #[serde(rename = "worthBy")]
    pub(crate) value_basis: Option<WireValueBasis>,
    pub(crate) zone: u32,
    #[serde(rename = "zones")]
    pub(crate) zone_names: Vec<String>,
    #[serde(rename = "kinds")]
    pub(crate) machine_kind_names: Vec<String>,
}

/// A request class.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub(crate) struct WireClass {
    #[serde(rename = "aimStretch")]
    pub(crate) objective_stretch: Option<f64>,
    #[serde(rename = "aimMs")]
    pub(crate) latency_objective_ms: f64,
    pub(crate) deadline_ms: f64,
    pub(crate) effect: WireEffect,
    pub(crate) name: String,
    #[serde(rename = "group")]
    pub(crate) dedup_scope: Option<WireDedupScope>,
    #[serde(rename = "lateWorth")]
    pub(crate) late_value: f64,
    #[serde(rename = "stream")]
    pub(crate) is_streaming: bool,
    pub(crate) dedup_window_ms: f64,
    #[serde(rename = "points")]
    pub(crate) priority_weight: f64,
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

/// The servers that recognise and drop repeats of a request.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum WireDedupScope {
    All,
    Zone,
    Cell,
}

/// How changes of the endpoint list arrive.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum WireDiscovery {
    Pushed,
    OnRequest,
}

/// The meaning of an endpoint's weight.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum WireWeights {
    Silent,
    Nominal,
    Rough,
    Live,
}

/// The unit in which the value of answers is counted.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum WireValueBasis {
    Request,
    Work,
}

/// Properties of the kind of service.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WireServiceTraits {
    #[serde(rename = "warmKeys")]
    pub(crate) has_key_affinity: bool,
}

/// Load reports.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WireFeedback {
    pub(crate) fields: Vec<String>,
    pub(crate) source: WireFeedbackSource,
}

/// The responses that carry load reports.
#[derive(Debug, Default, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum WireFeedbackSource {
    Piggyback,
    Pull,
    #[default]
    Silent,
}

/// Weights of the parts of the score.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub(crate) struct WireGoal {
    #[serde(rename = "whole")]
    pub(crate) overall: f64,
    pub(crate) worst_class: f64,
    pub(crate) worst_tenant: f64,
    pub(crate) worst_window: f64,
}

/// Limits, and features that the site permits.
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

/// A tenant.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WireTenant {
    #[serde(rename = "allowancePerS")]
    pub(crate) quota_per_s: f64,
    #[serde(rename = "fraction")]
    pub(crate) share: f64,
    pub(crate) name: String,
}

/// Points that each kind of cost subtracts from the score.
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

/// Parameters of the rules that a balancer must keep.
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
