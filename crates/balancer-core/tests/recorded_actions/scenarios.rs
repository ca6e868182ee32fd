//! The scenarios: deployments, the traffic that they get and how often something changes.

use super::common::{class, deduplicated};
use balancer_core::*;

/// A deployment and the traffic that it gets.
pub struct Scenario {
    pub seed: u64,
    pub settings: Settings,
    pub server_count: u32,
    pub zone_count: u32,
    pub machine_kind_count: u32,
    pub request_count: u64,
    pub mean_arrival_gap_ms: f64,
    pub mean_fault_gap_ms: f64,
    /// Requests carry no routing key if this is zero.
    pub routing_key_count: u64,
    /// Time that a server takes for an attempt when nothing slows it.
    pub base_latency_ms: f64,
    pub initial_fleet: InitialFleet,
}

/// The state of the fleet when a scenario begins.
#[derive(Clone, Copy, PartialEq)]
pub enum InitialFleet {
    Warm,
    /// Every second server has just started.
    HalfWarmingUp,
    /// All servers drain, and come back after a short while.
    Draining,
}

/// One class for each effect, and one that streams.
fn all_effects() -> Vec<RequestClass> {
    vec![
        class(Effect::Idempotent),
        RequestClass {
            priority_weight: 4.0,
            latency_objective: Span::from_millis(120),
            ..class(Effect::AtMostOnce)
        },
        RequestClass { priority_weight: 2.0, ..class(deduplicated(DedupScope::Fleet, 400.0)) },
        RequestClass { priority_weight: 0.3, ..class(deduplicated(DedupScope::Zone, 300.0)) },
        RequestClass { late_value: 0.4, ..class(deduplicated(DedupScope::Cell, 600.0)) },
        RequestClass { late_value: 0.3, is_streaming: true, ..class(Effect::Idempotent) },
    ]
}

fn small_deployment() -> Settings {
    Settings {
        balancer_count: 4,
        classes: all_effects(),
        goal: GoalWeights { overall: 0.6, worst_window: 0.2, worst_class: 0.2, worst_tenant: 0.0 },
        sends_retry_after: true,
        max_retry_after: Span::from_millis(45),
        initial_capacity: 0.15,
        warm_up_time: Span::from_millis(6000),
        overload_factor: 3.0,
        overload_window: Span::from_millis(800),
        connect_timeout: Span::from_millis(20),
        max_poll_interval: Span::from_millis(3000),
        ..Settings::default()
    }
}

fn large_deployment() -> Settings {
    let costs = Costs { cross_zone: 0.01, handshake: 0.08, wasted_work: 0.3, ..Costs::default() };
    Settings {
        balancer_count: 300,
        costs,
        allows_gossip: true,
        endpoint_weights: EndpointWeights::Size,
        ..small_deployment()
    }
}

fn tenants() -> Vec<Tenant> {
    [0.2, 0.5, 0.3].map(|share| Tenant { share, quota_per_s: 20.0 }).to_vec()
}

fn scenario(seed: u64, settings: Settings) -> Scenario {
    Scenario {
        seed,
        settings,
        server_count: 8,
        zone_count: 3,
        machine_kind_count: 2,
        request_count: 8000,
        mean_arrival_gap_ms: 6.0,
        mean_fault_gap_ms: 400.0,
        routing_key_count: 0,
        base_latency_ms: 14.0,
        initial_fleet: InitialFleet::Warm,
    }
}

pub fn few_balancers_pushed() -> Scenario {
    let settings = Settings { allows_hedging: true, ..small_deployment() };
    scenario(11, settings)
}

pub fn few_balancers_polling() -> Scenario {
    let costs = Costs { cross_zone: 0.02, ..Costs::default() };
    let settings = Settings {
        discovery_mode: DiscoveryMode::OnRequest,
        costs,
        load_report_source: LoadReportSource::Responses,
        load_report_fields: vec![LoadReportField::InFlight, LoadReportField::ServiceTime],
        ..small_deployment()
    };
    Scenario { server_count: 12, mean_fault_gap_ms: 250.0, ..scenario(12, settings) }
}

pub fn costly_zones_and_few_servers() -> Scenario {
    let costs = Costs { cross_zone: 0.05, ..Costs::default() };
    let settings = Settings { costs, allows_cancel: false, max_attempts: 2, ..small_deployment() };
    Scenario { server_count: 4, mean_arrival_gap_ms: 3.0, ..scenario(13, settings) }
}

pub fn routing_keys() -> Scenario {
    let settings = Settings {
        has_key_affinity: true,
        classes: vec![class(Effect::Idempotent), class(deduplicated(DedupScope::Fleet, 300.0))],
        ..small_deployment()
    };
    Scenario {
        server_count: 20,
        request_count: 30_000,
        mean_arrival_gap_ms: 4.0,
        mean_fault_gap_ms: 2000.0,
        routing_key_count: 13_000,
        ..scenario(14, settings)
    }
}

pub fn tenants_over_their_share() -> Scenario {
    let settings = Settings {
        tenants: tenants(),
        over_share_value: 0.1,
        value_basis: ValueBasis::Work,
        balancer_count: 3,
        ..small_deployment()
    };
    Scenario { server_count: 5, mean_arrival_gap_ms: 4.0, ..scenario(15, settings) }
}

pub fn burst_on_a_tiny_fleet() -> Scenario {
    let settings = Settings { balancer_count: 2, ..small_deployment() };
    Scenario {
        server_count: 2,
        zone_count: 1,
        mean_arrival_gap_ms: 2.0,
        mean_fault_gap_ms: 900.0,
        ..scenario(16, settings)
    }
}

pub fn long_lived_fleet() -> Scenario {
    let settings = Settings { has_key_affinity: true, ..small_deployment() };
    Scenario {
        request_count: 5000,
        mean_arrival_gap_ms: 100.0,
        mean_fault_gap_ms: 3000.0,
        routing_key_count: 40,
        ..scenario(17, settings)
    }
}

pub fn many_balancers_pushed() -> Scenario {
    let settings = Settings {
        load_report_source: LoadReportSource::Responses,
        load_report_fields: vec![LoadReportField::QueueLength, LoadReportField::ServiceTime],
        ..large_deployment()
    };
    Scenario {
        server_count: 60,
        mean_arrival_gap_ms: 15.0,
        mean_fault_gap_ms: 150.0,
        ..scenario(18, settings)
    }
}

pub fn many_balancers_polling() -> Scenario {
    let settings =
        Settings { discovery_mode: DiscoveryMode::OnRequest, tenants: tenants(), ..large_deployment() };
    Scenario { server_count: 40, machine_kind_count: 4, mean_arrival_gap_ms: 30.0, ..scenario(19, settings) }
}

fn many_balancers_polling_loads(poll_cost: f64, seed: u64) -> Scenario {
    let base = large_deployment();
    let settings = Settings {
        costs: Costs { health_check: poll_cost, ..base.costs.clone() },
        allows_health_checks: true,
        load_report_source: LoadReportSource::HealthChecks,
        load_report_fields: vec![LoadReportField::InFlight, LoadReportField::ServiceTime],
        ..base
    };
    Scenario {
        server_count: 30,
        mean_arrival_gap_ms: 20.0,
        mean_fault_gap_ms: 200.0,
        ..scenario(seed, settings)
    }
}

pub fn many_balancers_cheap_polls() -> Scenario {
    many_balancers_polling_loads(0.0008, 20)
}

pub fn many_balancers_costly_polls() -> Scenario {
    many_balancers_polling_loads(0.00085, 21)
}

pub fn many_balancers_overloaded() -> Scenario {
    let settings = Settings { allows_gossip: false, ..large_deployment() };
    let initial_fleet = InitialFleet::HalfWarmingUp;
    Scenario {
        server_count: 25,
        mean_arrival_gap_ms: 5.0,
        base_latency_ms: 40.0,
        initial_fleet,
        ..scenario(22, settings)
    }
}

pub fn many_balancers_long_lived() -> Scenario {
    Scenario {
        server_count: 25,
        request_count: 5000,
        mean_arrival_gap_ms: 100.0,
        mean_fault_gap_ms: 2500.0,
        ..scenario(23, large_deployment())
    }
}

pub fn burst_over_the_queue() -> Scenario {
    let initial_fleet = InitialFleet::Draining;
    let scenario = scenario(24, small_deployment());
    Scenario { server_count: 3, request_count: 3000, mean_arrival_gap_ms: 0.1, initial_fleet, ..scenario }
}

pub fn many_balancers_all_late() -> Scenario {
    Scenario {
        server_count: 25,
        mean_arrival_gap_ms: 5.0,
        base_latency_ms: 500.0,
        ..scenario(25, large_deployment())
    }
}

pub fn many_balancers_quick_servers() -> Scenario {
    let initial_fleet = InitialFleet::HalfWarmingUp;
    let scenario = scenario(26, large_deployment());
    Scenario { server_count: 30, request_count: 4000, base_latency_ms: 0.4, initial_fleet, ..scenario }
}
