//! Scenarios of deployments with few balancers, in which each balancer sends a large fraction of the requests
//! of every server.

use super::super::common::{class, deduplicated};
use super::{classes_with_all_effects, scenario, tenants, InitialFleet, Scenario};
use balancer_core::{
    Costs, DedupScope, DiscoveryMode, Effect, GoalWeights, LoadReportField, LoadReportSource, Settings, Span,
    ValueBasis,
};

/// Creates the settings of one of four balancers.
pub fn small_deployment() -> Settings {
    Settings {
        balancer_count: 4,
        classes: classes_with_all_effects(),
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

/// Creates a scenario in which discovery pushes endpoint updates, and hedged requests are allowed.
pub fn few_balancers_pushed() -> Scenario {
    let settings = Settings { allows_hedging: true, ..small_deployment() };
    scenario(11, settings)
}

/// Creates a scenario in which the balancer must request endpoint updates, and responses carry load reports.
pub fn few_balancers_on_request() -> Scenario {
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

/// Creates a scenario in which attempts to other zones are costly, a request has at most two attempts, and
/// attempts cannot be cancelled.
pub fn costly_cross_zone_attempts() -> Scenario {
    let costs = Costs { cross_zone: 0.05, ..Costs::default() };
    let settings = Settings { costs, allows_cancel: false, max_attempts: 2, ..small_deployment() };
    Scenario { server_count: 4, mean_arrival_gap_ms: 3.0, ..scenario(13, settings) }
}

/// Creates a scenario in which requests carry more different routing keys than the balancer can remember.
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

/// Creates a scenario in which most requests come from the first tenant, which exceeds its share of the
/// capacity.
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

/// Creates a scenario in which many requests arrive for a fleet of two servers.
pub fn high_load_on_two_servers() -> Scenario {
    let settings = Settings { balancer_count: 2, ..small_deployment() };
    Scenario {
        server_count: 2,
        zone_count: 1,
        mean_arrival_gap_ms: 2.0,
        mean_fault_gap_ms: 900.0,
        ..scenario(16, settings)
    }
}

/// Creates a scenario in which requests with routing keys arrive at a low rate for several minutes.
pub fn few_balancers_long_run() -> Scenario {
    let settings = Settings { has_key_affinity: true, ..small_deployment() };
    Scenario {
        request_count: 5000,
        mean_arrival_gap_ms: 100.0,
        mean_fault_gap_ms: 3000.0,
        routing_key_count: 40,
        ..scenario(17, settings)
    }
}

/// Creates a scenario in which more requests arrive than the balancer can queue, while all servers are
/// draining.
pub fn burst_beyond_queue_capacity() -> Scenario {
    Scenario {
        server_count: 3,
        request_count: 3000,
        mean_arrival_gap_ms: 0.1,
        initial_fleet: InitialFleet::Draining,
        ..scenario(24, small_deployment())
    }
}
