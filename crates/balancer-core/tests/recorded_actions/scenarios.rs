//! The scenarios: deployments with their traffic and the frequency of their faults.

mod few_balancers;
mod many_balancers;

pub use few_balancers::*;
pub use many_balancers::*;

use super::common::{class, deduplicated};
use balancer_core::{DedupScope, Effect, RequestClass, Settings, Span, Tenant};

/// A deployment, its traffic and the frequency of its faults.
#[derive(Clone)]
pub struct Scenario {
    /// The seed of the balancer and of the simulation.
    pub seed: u64,
    /// The settings of the balancer.
    pub settings: Settings,
    /// The number of servers when the scenario begins.
    pub server_count: u32,
    /// The number of zones.
    pub zone_count: u32,
    /// The number of machine kinds.
    pub machine_kind_count: u32,
    /// The number of requests that clients send.
    pub request_count: u64,
    /// The mean time between the arrivals of two requests.
    pub mean_arrival_gap_ms: f64,
    /// The mean time between two faults.
    pub mean_fault_gap_ms: f64,
    /// The number of routing keys. If it is zero, requests carry no routing key.
    pub routing_key_count: u64,
    /// The time that an unloaded server without a fault takes for an attempt, on machine kind 0.
    pub base_latency_ms: f64,
    /// The state of the fleet when the scenario begins.
    pub initial_fleet: InitialFleet,
}

/// The state of the fleet when a scenario begins.
#[derive(Clone, Copy, PartialEq)]
pub enum InitialFleet {
    /// All servers are warm and serving.
    Warm,
    /// Every second server has just started. The others are warm.
    HalfWarmingUp,
    /// All servers are draining. They serve again after 150 ms.
    Draining,
}

/// Creates one request class for each effect and each deduplication scope, and a class with streamed
/// responses.
fn classes_with_all_effects() -> Vec<RequestClass> {
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

/// Creates three tenants with different shares of the capacity.
fn tenants() -> Vec<Tenant> {
    [0.2, 0.5, 0.3].map(|share| Tenant { share, quota_per_s: 20.0 }).to_vec()
}

/// Creates a scenario with these settings and moderate traffic to a small fleet of warm servers.
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
