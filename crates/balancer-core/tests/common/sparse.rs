//! Setup for the tests of sparse views, in which balancers outnumber servers, so that a balancer has hardly
//! ever a request of its own in flight at a server.

use super::fixtures::idempotent_settings;
use super::harness::{Harness, Response, SequentialLoad};
use balancer_core::{Outcome, ServerId, Settings};

/// The time between the end of one request and the next request.
const PAUSE_MS: f64 = 50.0;

/// Settings of one of a thousand balancers.
pub fn sparse_settings() -> Settings {
    Settings { balancer_count: 1000, ..idempotent_settings() }
}

/// Sends requests one after the other; each attempt ends after `elapsed_ms` with the outcome at its server.
/// Returns the number of attempts at each server.
pub fn serve_with_outcomes(
    harness: &mut Harness,
    request_count: u32,
    elapsed_ms: f64,
    outcome_at: impl Fn(ServerId) -> Outcome,
) -> Vec<u32> {
    let load = SequentialLoad { request_count, pause_ms: PAUSE_MS };
    harness.serve_sequentially(load, |server| Response { outcome: outcome_at(server), elapsed_ms })
}

/// Sends requests one after the other, each of which succeeds after `elapsed_ms`. Returns the number of
/// attempts at each server.
pub fn serve_successfully(harness: &mut Harness, request_count: u32, elapsed_ms: f64) -> Vec<u32> {
    serve_with_outcomes(harness, request_count, elapsed_ms, |_| Outcome::Success)
}
