//! Tests of the JSON form of the settings and its conversions.

use balancer_core::{
    Costs, DedupScope, DiscoveryMode, Effect, EndpointWeights, GoalWeights, LoadReportField,
    LoadReportSource, RequestClass, Settings, Span, Tenant, ValueBasis, ZoneId,
};
use balancer_settings::{HostSettings, WireSettings};

/// A settings object that contains every known key with a value that differs from the default.
const COMPLETE: &str = r#"{
 "balancers": 3,
 "classes": [{"aimStretch": 0.5, "aimMs": 150.0, "deadlineMs": 300.0, "dedupWindowMs": 900.0,
  "effect": "deduplicated", "group": "zone", "lateWorth": 0.3, "name": "orders", "points": 10.0,
  "stream": true}],
 "clientHabits": {"marksRetry": true},
 "discovery": "on_request",
 "familyInfo": {"warmKeys": true},
 "feedback": {"fields": ["inflight", "queue", "util", "latency_ms", "qps", "eps", "weather"],
  "source": "pull"},
 "goal": {"whole": 0.1, "worstClass": 0.2, "worstTenant": 0.3, "worstWindow": 0.4},
 "kinds": ["std-1", "slow-1"],
 "limits": {"cancel": true, "connectTimeoutMs": 120.0, "keepaliveMs": 60000.0, "maxAttempts": 4,
  "maxRetryAfterMs": 1500.0, "peers": true, "probes": true, "retryAfter": true, "secondCopies": true},
 "overShareWorth": 0.15,
 "parties": [{"allowancePerS": 40.0, "fraction": 0.6, "name": "acme"}],
 "penalties": {"connection": 0.03, "crossZone": 0.02, "handshake": 0.08, "lateFail": 0.064, "probe": 0.01,
  "waste": 0.7},
 "periodMs": 7.0,
 "rules": {"askWithinMs": 11000.0, "coldShare": 0.14, "fallMs": 2100.0, "overloadFactor": 3.5,
  "stopSendingWithinMs": 260.0, "warmAfterMs": 23000.0},
 "weights": "live",
 "worthBy": "work",
 "zone": 1,
 "zones": ["north", "south"]
}"#;

fn parse(json: &str) -> WireSettings {
    serde_json::from_str(json).expect("settings in JSON")
}

fn effect_of_class(json: &str) -> Effect {
    let settings = Settings::from(&parse(&format!(r#"{{"classes":[{json}]}}"#)));
    settings.classes[0].effect
}

fn expected_class() -> RequestClass {
    RequestClass {
        effect: Effect::Deduplicated { scope: DedupScope::Zone, window: Span::from_millis(900) },
        latency_objective: Span::from_millis(150),
        objective_stretch: 0.5,
        timeout: Span::from_millis(300),
        priority_weight: 10.0,
        late_value: 0.3,
        is_streaming: true,
    }
}

fn expected_settings() -> Settings {
    use LoadReportField::{ErrorRate, InFlight, QueueLength, RequestRate, ServiceTime, Unknown, Utilisation};
    Settings {
        balancer_count: 3,
        local_zone: ZoneId(1),
        classes: vec![expected_class()],
        clients_mark_retries: true,
        tenants: vec![Tenant { share: 0.6, quota_per_s: 40.0 }],
        over_share_value: 0.15,
        value_basis: ValueBasis::Work,
        goal: GoalWeights { overall: 0.1, worst_window: 0.4, worst_class: 0.2, worst_tenant: 0.3 },
        costs: Costs {
            cross_zone: 0.02,
            health_check: 0.01,
            handshake: 0.08,
            connection: 0.03,
            wasted_work: 0.7,
            late_failure: 0.064,
        },
        discovery_mode: DiscoveryMode::OnRequest,
        max_poll_interval: Span::from_millis(11_000),
        load_report_source: LoadReportSource::HealthChecks,
        load_report_fields: vec![
            InFlight,
            QueueLength,
            Utilisation,
            ServiceTime,
            RequestRate,
            ErrorRate,
            Unknown,
        ],
        endpoint_weights: EndpointWeights::SizeOverLoad,
        has_key_affinity: true,
        max_attempts: 4,
        allows_hedging: true,
        allows_cancel: true,
        allows_health_checks: true,
        allows_gossip: true,
        sends_retry_after: true,
        max_retry_after: Span::from_millis(1500),
        drain_grace: Span::from_millis(260),
        initial_capacity: 0.14,
        warm_up_time: Span::from_millis(23_000),
        overload_factor: 3.5,
        overload_window: Span::from_millis(2100),
        connect_timeout: Settings::default().connect_timeout,
        event_interval: Span::from_millis(7),
    }
}

#[test]
fn every_key_sets_its_setting() {
    let settings = Settings::from(&parse(COMPLETE));

    assert_eq!(settings, expected_settings());
}

#[test]
fn every_key_for_hosts_sets_its_setting() {
    let host = HostSettings::from(&parse(COMPLETE));

    let expected = HostSettings {
        class_names: vec!["orders".into()],
        tenant_names: vec!["acme".into()],
        zone_names: vec!["north".into(), "south".into()],
        machine_kind_names: vec!["std-1".into(), "slow-1".into()],
        load_report_fields: ["inflight", "queue", "util", "latency_ms", "qps", "eps", "weather"]
            .map(String::from)
            .to_vec(),
        connect_timeout: Span::from_millis(120),
        keepalive: Span::from_millis(60_000),
    };
    assert_eq!(host, expected);
}

#[test]
fn absent_keys_have_defaults_and_unknown_keys_are_ignored() {
    let wire = parse(r#"{"classes":[{"novelty":[1]}],"somethingNew":{"deep":[{}]},"limits":{"maxOpen":3}}"#);

    let settings = Settings::from(&wire);
    let host = HostSettings::from(&wire);

    let default = Settings::default();
    assert_eq!(settings.balancer_count, default.balancer_count);
    assert_eq!(settings.max_attempts, default.max_attempts);
    assert_eq!(settings.overload_window, default.overload_window);
    assert_eq!(settings.event_interval, default.event_interval);
    assert_eq!(settings.classes[0].effect, Effect::AtMostOnce, "a missing effect has the safe default");
    assert_eq!(settings.classes[0].priority_weight, 0.0);
    assert_eq!(host.class_names, [""]);
    assert_eq!(host.connect_timeout, Span::from_millis(250));
    assert_eq!(host.keepalive, Span::from_millis(15_000));
}

#[test]
fn deduplication_scope_is_the_cell_unless_stated() {
    let window = Span::from_millis(900);
    for (group, scope) in [
        ("", DedupScope::Cell),
        (r#","group":null"#, DedupScope::Cell),
        (r#","group":"cell""#, DedupScope::Cell),
        (r#","group":"zone""#, DedupScope::Zone),
        (r#","group":"all""#, DedupScope::Fleet),
    ] {
        let class = format!(r#"{{"effect":"deduplicated","dedupWindowMs":900.0{group}}}"#);
        assert_eq!(effect_of_class(&class), Effect::Deduplicated { scope, window }, "{class}");
    }
    assert_eq!(effect_of_class(r#"{"effect":"idempotent","group":"all"}"#), Effect::Idempotent);
}

#[test]
fn unknown_value_of_a_known_key_is_an_error() {
    for json in [
        r#"{"weights":"heavy"}"#,
        r#"{"classes":[{"effect":"maybe"}]}"#,
        r#"{"feedback":{"source":null}}"#,
        r#"{"rules":{"fallMs":"soon"}}"#,
    ] {
        assert!(serde_json::from_str::<WireSettings>(json).is_err(), "{json}");
    }
}
