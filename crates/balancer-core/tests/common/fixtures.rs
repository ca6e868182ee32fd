//! Endpoints, classes and settings that many tests start from.

use balancer_core::{
    AttemptNumber, CellId, DedupScope, Effect, Endpoint, RequestClass, ServerId, Settings, Span, ZoneId,
};

/// The latency objective of [`class`].
pub const LATENCY_OBJECTIVE_MS: f64 = 200.0;
/// The timeout of [`class`].
pub const CLASS_TIMEOUT: Span = Span::from_millis(800);

pub const FIRST_ATTEMPT: AttemptNumber = AttemptNumber(0);
pub const SECOND_ATTEMPT: AttemptNumber = AttemptNumber(1);

/// The zones and cells of a fleet.
#[derive(Debug, Clone, Copy)]
pub struct Topology {
    pub zone_count: u32,
    pub cell_count: u32,
}

const ONE_ZONE: Topology = Topology { zone_count: 1, cell_count: 1 };
/// Three zones, each of which is one cell.
pub const THREE_ZONES: Topology = Topology { zone_count: 3, cell_count: 3 };

/// Warm servers in one zone and one cell, numbered from 0.
pub fn fleet(server_count: u32) -> Vec<Endpoint> {
    fleet_in(server_count, ONE_ZONE)
}

/// Warm servers, numbered from 0; server `n` is in zone `n % zone_count` and cell `n % cell_count`.
pub fn fleet_in(server_count: u32, topology: Topology) -> Vec<Endpoint> {
    let endpoint = |number: u32| Endpoint {
        zone: ZoneId(number % topology.zone_count),
        cell: CellId(number % topology.cell_count),
        ..Endpoint::serving(ServerId(number))
    };
    (0..server_count).map(endpoint).collect()
}

/// A class with a latency objective of 200 ms and a timeout of 800 ms.
pub fn class(effect: Effect) -> RequestClass {
    RequestClass {
        effect,
        latency_objective: Span::from_millis_f64(LATENCY_OBJECTIVE_MS),
        timeout: CLASS_TIMEOUT,
        ..RequestClass::default()
    }
}

/// Settings with one class of this effect.
pub fn settings_with_effect(effect: Effect) -> Settings {
    Settings { classes: vec![class(effect)], ..Settings::default() }
}

/// Settings with one idempotent class.
pub fn idempotent_settings() -> Settings {
    settings_with_effect(Effect::Idempotent)
}

/// Settings with one idempotent class whose requests may have six attempts.
pub fn six_attempt_settings() -> Settings {
    Settings { max_attempts: 6, ..idempotent_settings() }
}

/// The effect of requests that the servers within `scope` deduplicate.
pub fn deduplicated(scope: DedupScope, window_ms: f64) -> Effect {
    Effect::Deduplicated { scope, window: Span::from_millis_f64(window_ms) }
}
