//! Support code of the integration tests: a harness that runs a balancer, a checker for the rules that a
//! balancer must follow, and fixtures.
#![allow(dead_code, unused_imports, reason = "each test file uses only some of these items")]

mod actions;
mod effect_rule;
mod fixtures;
mod harness;
mod observed_fleet;
mod observed_request;
mod rule;
mod rule_checker;
mod slow_start_checker;
mod sparse;

pub use actions::{find_target, is_failed, is_rejected, is_send};
pub use fixtures::{
    class, deduplicated, fleet, fleet_in, idempotent_settings, settings_with_effect, six_attempt_settings,
    Topology, CLASS_TIMEOUT, FIRST_ATTEMPT, LATENCY_OBJECTIVE_MS, SECOND_ATTEMPT, THREE_ZONES,
};
pub use harness::{FilledServers, Harness, Response, SequentialLoad, SubmittedRequest};
pub use rule::{Rule, Violation};
pub use rule_checker::RuleChecker;
pub use sparse::{serve_successfully, serve_with_outcomes, sparse_settings};
