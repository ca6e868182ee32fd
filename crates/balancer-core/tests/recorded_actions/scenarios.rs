//! The scenarios: deployments, their traffic and how often something changes.

mod few_balancers;
mod many_balancers;

pub use few_balancers::*;
pub use many_balancers::*;

use super::common::{class, deduplicated};
use balancer_core::{DedupScope, Effect, RequestClass, Settings, Span, Tenant};

/// A deployment and its traffic.
#[derive(Clone)]
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
    /// The time that an unloaded server takes for an attempt.
    pub base_latency_ms: f64,
    pub initial_fleet: InitialFleet,
}

/// The state of the fleet when a scenario begins.
#[derive(Clone, Copy, PartialEq)]
pub enum InitialFleet {
    Warm,
    /// Every second server has just started.
    HalfWarmingUp,
    /// All servers are draining and serve again after a short while.
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

fn tenants() -> Vec<Tenant> {
    [0.2, 0.5, 0.3].map(|share| Tenant { share, quota_per_s: 20.0 }).to_vec()
}

/// A scenario of these settings, with moderate traffic to a small warm fleet.
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
