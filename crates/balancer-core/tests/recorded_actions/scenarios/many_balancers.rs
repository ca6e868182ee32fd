//! Scenarios of deployments with many balancers, in which each balancer sends a small fraction of the
//! requests of any server.

use super::few_balancers::small_deployment;
use super::{scenario, tenants, InitialFleet, Scenario};
use balancer_core::{Costs, DiscoveryMode, EndpointWeights, LoadReportField, LoadReportSource, Settings};

/// Creates the settings of one of three hundred balancers.
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

/// Creates a scenario in which discovery pushes endpoint updates, and responses carry load reports.
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

/// Creates a scenario in which the balancer must request endpoint updates, and requests belong to tenants.
pub fn many_balancers_on_request() -> Scenario {
    let settings =
        Settings { discovery_mode: DiscoveryMode::OnRequest, tenants: tenants(), ..large_deployment() };
    Scenario { server_count: 40, machine_kind_count: 4, mean_arrival_gap_ms: 30.0, ..scenario(19, settings) }
}

/// Creates a scenario in which load reports come only with health checks, each of which costs
/// `health_check_cost`.
fn many_balancers_polling_loads(health_check_cost: f64, seed: u64) -> Scenario {
    let base = large_deployment();
    let settings = Settings {
        costs: Costs { health_check: health_check_cost, ..base.costs.clone() },
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

/// Creates a scenario in which health checks are just cheap enough for the balancer to poll the loads of
/// candidates.
pub fn many_balancers_cheap_polls() -> Scenario {
    many_balancers_polling_loads(0.0008, 20)
}

/// Creates a scenario in which health checks are just too costly for the balancer to poll the loads of
/// candidates.
pub fn many_balancers_costly_polls() -> Scenario {
    many_balancers_polling_loads(0.00085, 21)
}

/// Creates a scenario in which many requests arrive for slow servers, half of which are warming up.
pub fn many_balancers_overloaded() -> Scenario {
    let settings = Settings { allows_gossip: false, ..large_deployment() };
    Scenario {
        server_count: 25,
        mean_arrival_gap_ms: 5.0,
        base_latency_ms: 40.0,
        initial_fleet: InitialFleet::HalfWarmingUp,
        ..scenario(22, settings)
    }
}

/// Creates a scenario in which requests arrive at a low rate for several minutes.
pub fn many_balancers_long_run() -> Scenario {
    Scenario {
        server_count: 25,
        request_count: 5000,
        mean_arrival_gap_ms: 100.0,
        mean_fault_gap_ms: 2500.0,
        ..scenario(23, large_deployment())
    }
}

/// Creates a scenario in which every response comes after the latency objective.
pub fn many_balancers_late_responses() -> Scenario {
    Scenario {
        server_count: 25,
        mean_arrival_gap_ms: 5.0,
        base_latency_ms: 500.0,
        ..scenario(25, large_deployment())
    }
}

/// Creates a scenario in which servers respond within about one millisecond, and half of them are warming up.
pub fn many_balancers_fast_servers() -> Scenario {
    Scenario {
        server_count: 30,
        request_count: 4000,
        base_latency_ms: 0.4,
        initial_fleet: InitialFleet::HalfWarmingUp,
        ..scenario(26, large_deployment())
    }
}
