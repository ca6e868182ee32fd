//! The conversion of the JSON form of the settings into [`Settings`].

use crate::wire::{
    WireClass, WireDedupScope, WireDiscovery, WireEffect, WireFeedbackSource, WireGoal, WirePenalties,
    WireSettings, WireTenant, WireValueBasis, WireWeights,
};
use balancer_core::{
    Costs, DedupScope, DiscoveryMode, Effect, EndpointWeights, GoalWeights, LoadReportField,
    LoadReportSource, RequestClass, Settings, Span, Tenant, ValueBasis, ZoneId,
};

impl From<&WireSettings> for Settings {
    /// Converts the settings object.
    ///
    /// An absent key gets the value of [`Settings::default`] where the field of `wire` is an `Option`. Any
    /// other absent key stands for zero, `false`, an empty list or the default of its enumeration. The
    /// connect timeout is not converted: a host that opens connections sets it from
    /// [`HostSettings`](crate::HostSettings).
    fn from(wire: &WireSettings) -> Settings {
        let default = Settings::default();
        let limits = &wire.limits;
        let rules = &wire.rules;
        Settings {
            balancer_count: wire.balancer_count.unwrap_or(default.balancer_count),
            local_zone: ZoneId(wire.zone),
            classes: wire.classes.iter().map(RequestClass::from).collect(),
            clients_mark_retries: wire.client_habits.clients_mark_retries,
            tenants: wire.tenants.iter().map(Tenant::from).collect(),
            over_share_value: wire.over_share_value.unwrap_or(default.over_share_value),
            value_basis: value_basis(wire.value_basis),
            goal: GoalWeights::from(&wire.goal),
            costs: Costs::from(&wire.penalties),
            discovery_mode: discovery_mode(wire.discovery),
            max_poll_interval: span_or(rules.max_poll_interval_ms, default.max_poll_interval),
            load_report_source: LoadReportSource::from(wire.feedback.source),
            load_report_fields: wire.feedback.fields.iter().map(|name| load_report_field(name)).collect(),
            endpoint_weights: endpoint_weights(wire.weights),
            has_key_affinity: wire.service_traits.has_key_affinity,
            max_attempts: limits.max_attempts.unwrap_or(default.max_attempts),
            allows_hedging: limits.allows_hedging,
            allows_cancel: limits.allows_cancel,
            allows_health_checks: limits.allows_health_checks,
            allows_gossip: limits.allows_gossip,
            sends_retry_after: limits.sends_retry_after,
            max_retry_after: Span::from_millis_f64(limits.max_retry_after_ms),
            drain_grace: span_or(rules.drain_grace_ms, default.drain_grace),
            initial_capacity: rules.initial_capacity.unwrap_or(default.initial_capacity),
            warm_up_time: span_or(rules.warm_up_time_ms, default.warm_up_time),
            overload_factor: rules.overload_factor.unwrap_or(default.overload_factor),
            overload_window: span_or(rules.overload_window_ms, default.overload_window),
            connect_timeout: default.connect_timeout,
            event_interval: span_or(wire.event_interval_ms, default.event_interval),
        }
    }
}

/// Returns the given number of milliseconds as a duration, or `default` if there is none.
fn span_or(milliseconds: Option<f64>, default: Span) -> Span {
    milliseconds.map_or(default, Span::from_millis_f64)
}

fn value_basis(basis: Option<WireValueBasis>) -> ValueBasis {
    match basis {
        Some(WireValueBasis::Work) => ValueBasis::Work,
        Some(WireValueBasis::Request) | None => ValueBasis::Requests,
    }
}

fn discovery_mode(discovery: Option<WireDiscovery>) -> DiscoveryMode {
    match discovery {
        Some(WireDiscovery::OnRequest) => DiscoveryMode::OnRequest,
        Some(WireDiscovery::Pushed) | None => DiscoveryMode::Pushed,
    }
}

fn endpoint_weights(weights: Option<WireWeights>) -> EndpointWeights {
    match weights {
        Some(WireWeights::Nominal | WireWeights::Rough) => EndpointWeights::Size,
        Some(WireWeights::Live) => EndpointWeights::SizeOverLoad,
        Some(WireWeights::Silent) | None => EndpointWeights::Unspecified,
    }
}

/// Returns the meaning of the load report field with this name in the settings.
fn load_report_field(name: &str) -> LoadReportField {
    match name {
        "inflight" => LoadReportField::InFlight,
        "queue" => LoadReportField::QueueLength,
        "util" => LoadReportField::Utilisation,
        "latency_ms" => LoadReportField::ServiceTime,
        "qps" => LoadReportField::RequestRate,
        "eps" => LoadReportField::ErrorRate,
        _ => LoadReportField::Unknown,
    }
}

impl From<WireFeedbackSource> for LoadReportSource {
    fn from(source: WireFeedbackSource) -> Self {
        match source {
            WireFeedbackSource::Piggyback => LoadReportSource::Responses,
            WireFeedbackSource::Pull => LoadReportSource::HealthChecks,
            WireFeedbackSource::Silent => LoadReportSource::None,
        }
    }
}

impl From<&WireTenant> for Tenant {
    fn from(wire: &WireTenant) -> Self {
        Tenant { share: wire.share, quota_per_s: wire.quota_per_s }
    }
}

impl From<&WireGoal> for GoalWeights {
    fn from(wire: &WireGoal) -> Self {
        GoalWeights {
            overall: wire.overall,
            worst_window: wire.worst_window,
            worst_class: wire.worst_class,
            worst_tenant: wire.worst_tenant,
        }
    }
}

impl From<&WirePenalties> for Costs {
    fn from(wire: &WirePenalties) -> Self {
        Costs {
            cross_zone: wire.cross_zone,
            health_check: wire.health_check,
            handshake: wire.handshake,
            connection: wire.connection,
            wasted_work: wire.wasted_work,
            late_failure: wire.late_failure,
        }
    }
}

impl From<&WireClass> for RequestClass {
    fn from(wire: &WireClass) -> Self {
        RequestClass {
            effect: effect(wire),
            latency_objective: Span::from_millis_f64(wire.latency_objective_ms),
            objective_stretch: wire.objective_stretch.unwrap_or(0.0),
            timeout: Span::from_millis_f64(wire.deadline_ms),
            priority_weight: wire.priority_weight,
            late_value: wire.late_value,
            is_streaming: wire.is_streaming,
        }
    }
}

fn effect(class: &WireClass) -> Effect {
    match class.effect {
        WireEffect::Idempotent => Effect::Idempotent,
        WireEffect::AtMostOnce => Effect::AtMostOnce,
        WireEffect::Deduplicated => Effect::Deduplicated {
            scope: dedup_scope(class.dedup_scope),
            window: Span::from_millis_f64(class.dedup_window_ms),
        },
    }
}

fn dedup_scope(scope: Option<WireDedupScope>) -> DedupScope {
    match scope {
        Some(WireDedupScope::All) => DedupScope::Fleet,
        Some(WireDedupScope::Zone) => DedupScope::Zone,
        // A missing scope means the narrowest one. With a wider scope, a retry in another cell could
        // duplicate the effect.
        Some(WireDedupScope::Cell) | None => DedupScope::Cell,
    }
}
