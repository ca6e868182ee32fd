//! Fixtures for the tests of sparse views. In a sparse view balancers outnumber servers, so that a balancer
//! rarely has a request of its own in flight at a given server.

use super::fixtures::idempotent_settings;
use super::harness::{Harness, Response, SequentialLoad};
use balancer_core::{Outcome, ServerId, Settings};

/// The time from the end of one request to the next request.
const REQUEST_GAP_MS: f64 = 50.0;

/// Creates the settings of one of a thousand balancers.
pub fn sparse_settings() -> Settings {
    Settings { balancer_count: 1000, ..idempotent_settings() }
}

/// Submits requests one after the other and ends each attempt after `elapsed_ms` with the outcome that
/// `outcome_at` returns for its server. Returns the number of attempts at each server.
pub fn serve_with_outcomes(
    harness: &mut Harness,
    request_count: u32,
    elapsed_ms: f64,
    outcome_at: impl Fn(ServerId) -> Outcome,
) -> Vec<u32> {
    let load = SequentialLoad { request_count, gap_ms: REQUEST_GAP_MS };
    harness.serve_sequentially(load, |server| Response { outcome: outcome_at(server), elapsed_ms })
}

/// Submits requests one after the other and ends each attempt with success after `elapsed_ms`. Returns the
/// number of attempts at each server.
pub fn serve_successfully(harness: &mut Harness, request_count: u32, elapsed_ms: f64) -> Vec<u32> {
    serve_with_outcomes(harness, request_count, elapsed_ms, |_| Outcome::Success)
}
