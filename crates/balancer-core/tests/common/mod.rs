//! What the integration tests share: a harness around a balancer, a checker of its rules, and fixtures.
#![allow(dead_code, unused_imports, reason = "each test file uses only a part of it")]

mod actions;
mod fixtures;
mod harness;
mod observed_request;
mod rule_checker;
mod slow_start_checker;
mod sparse;

pub use actions::{find_target, is_failed, is_rejected, is_send};
pub use fixtures::{class, deduplicated, fleet, idempotent_settings};
pub use harness::{Harness, Response, SequentialLoad, SubmittedRequest};
pub use rule_checker::{Rule, RuleChecker, Violation};
pub use sparse::{serve_well, serve_with_outcomes, sparse_settings, OBJECTIVE_MS};
