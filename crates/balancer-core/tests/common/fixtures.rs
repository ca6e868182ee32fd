//! Endpoints, request classes and settings that many tests use.

use balancer_core::{
    AttemptNumber, CellId, DedupScope, Effect, Endpoint, RequestClass, ServerId, Settings, Span, ZoneId,
};

/// The latency objective of the request classes that [`class`] creates.
pub const LATENCY_OBJECTIVE_MS: f64 = 200.0;
/// The timeout of the request classes that [`class`] creates.
pub const CLASS_TIMEOUT: Span = Span::from_millis(800);

/// The number of a request's first attempt.
pub const FIRST_ATTEMPT: AttemptNumber = AttemptNumber(0);
/// The number of a request's second attempt.
pub const SECOND_ATTEMPT: AttemptNumber = AttemptNumber(1);

/// The numbers of zones and cells of a fleet.
#[derive(Debug, Clone, Copy)]
pub struct Topology {
    /// The number of zones.
    pub zone_count: u32,
    /// The number of cells.
    pub cell_count: u32,
}

/// One zone with one cell.
const ONE_ZONE: Topology = Topology { zone_count: 1, cell_count: 1 };
/// Three zones with one cell each.
pub const THREE_ZONES: Topology = Topology { zone_count: 3, cell_count: 3 };

/// Creates the endpoints of warm servers in one zone and one cell, numbered from 0.
pub fn fleet(server_count: u32) -> Vec<Endpoint> {
    fleet_in(server_count, ONE_ZONE)
}

/// Creates the endpoints of warm servers, numbered from 0. Server `n` is in zone `n % zone_count` and cell
/// `n % cell_count`.
pub fn fleet_in(server_count: u32, topology: Topology) -> Vec<Endpoint> {
    let endpoint = |number: u32| Endpoint {
        zone: ZoneId(number % topology.zone_count),
        cell: CellId(number % topology.cell_count),
        ..Endpoint::serving(ServerId(number))
    };
    (0..server_count).map(endpoint).collect()
}

/// Creates a request class with a latency objective of 200 ms and a timeout of 800 ms.
pub fn class(effect: Effect) -> RequestClass {
    RequestClass {
        effect,
        latency_objective: Span::from_millis_f64(LATENCY_OBJECTIVE_MS),
        timeout: CLASS_TIMEOUT,
        ..RequestClass::default()
    }
}

/// Creates settings with one request class, which has this effect.
pub fn settings_with_effect(effect: Effect) -> Settings {
    Settings { classes: vec![class(effect)], ..Settings::default() }
}

/// Creates settings with one request class, which is idempotent.
pub fn idempotent_settings() -> Settings {
    settings_with_effect(Effect::Idempotent)
}

/// Creates settings with one idempotent request class and at most six attempts per request.
pub fn six_attempt_settings() -> Settings {
    Settings { max_attempts: 6, ..idempotent_settings() }
}

/// Returns the effect of requests that the servers within `scope` deduplicate for `window_ms`.
pub fn deduplicated(scope: DedupScope, window_ms: f64) -> Effect {
    Effect::Deduplicated { scope, window: Span::from_millis_f64(window_ms) }
}
