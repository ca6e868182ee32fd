//! Set-up of the tests of sparse views, where balancers outnumber servers and own counts are nearly all zero.

use super::fixtures::idempotent_settings;
use super::harness::{Harness, Response, SequentialLoad};
use balancer_core::{Outcome, ServerId, Settings};

/// The latency objective of the class of [`sparse_settings`].
pub const OBJECTIVE_MS: f64 = 200.0;
const PAUSE_MS: f64 = 50.0;

/// Settings of one of a thousand balancers.
pub fn sparse_settings() -> Settings {
    Settings { balancer_count: 1000, ..idempotent_settings() }
}

/// Requests one after the other, each attempt answered after the same time; how many attempts each of
/// `server_count` servers got.
pub fn serve_with_outcomes(
    harness: &mut Harness,
    server_count: usize,
    request_count: u32,
    elapsed_ms: f64,
    outcome_at: impl Fn(ServerId) -> Outcome,
) -> Vec<u32> {
    let load = SequentialLoad { server_count, request_count, pause_ms: PAUSE_MS };
    harness.serve_sequentially(load, |server| Response { outcome: outcome_at(server), elapsed_ms })
}

/// Requests one after the other, all of which succeed.
pub fn serve_well(
    harness: &mut Harness,
    server_count: usize,
    request_count: u32,
    elapsed_ms: f64,
) -> Vec<u32> {
    serve_with_outcomes(harness, server_count, request_count, elapsed_ms, |_| Outcome::Success)
}
