//! Endpoints, classes and settings that many tests begin with.

use balancer_core::{CellId, DedupScope, Effect, Endpoint, RequestClass, ServerId, Settings, Span, ZoneId};

/// Warm servers, server `n` in zone `n % zone_count` and cell `n % cell_count`.
pub fn fleet(server_count: u32, zone_count: u32, cell_count: u32) -> Vec<Endpoint> {
    let endpoint = |number: u32| Endpoint {
        zone: ZoneId(number % zone_count),
        cell: CellId(number % cell_count),
        ..Endpoint::serving(ServerId(number))
    };
    (0..server_count).map(endpoint).collect()
}

/// A class with a latency objective of 200 ms and a deadline of 800 ms.
pub fn class(effect: Effect) -> RequestClass {
    RequestClass {
        effect,
        latency_objective: Span::from_millis(200),
        deadline: Span::from_millis(800),
        ..RequestClass::default()
    }
}

/// Settings with one idempotent class.
pub fn idempotent_settings() -> Settings {
    Settings { classes: vec![class(Effect::Idempotent)], ..Settings::default() }
}

/// The effect of requests that servers within `scope` deduplicate.
pub fn deduplicated(scope: DedupScope, window_ms: f64) -> Effect {
    Effect::Deduplicated { scope, window: Span::from_millis_f64(window_ms) }
}
