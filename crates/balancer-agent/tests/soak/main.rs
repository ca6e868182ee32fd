//! A soak of the agent's process under faults of clients, servers and the platform, with the least memory.
//!
//! Each seed is one life of an agent: clients that behave, clients that leave, in some lives a crowd of bad
//! clients, servers with faults, and signals in series up to SIGKILL at its earliest time. `SOAK_SEEDS` is the
//! number of seeds, from `SOAK_FIRST_SEED` on.

#[path = "../common/mod.rs"]
mod common;

mod clients;
mod ledger;
mod life;
mod servers;

use life::Life;
use std::sync::Arc;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

/// The number of seeds without `SOAK_SEEDS`.
const DEFAULT_SEEDS: u64 = 12;
/// The number of lives that run side by side.
const LIVES_AT_A_TIME: usize = 3;

/// Returns the number in an environment variable, or `default` if it is not set.
fn number_from_environment(variable: &str, default: u64) -> u64 {
    std::env::var(variable).map_or(default, |text| text.parse().expect("a number"))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn no_life_breaks_a_rule_passes_a_limit_or_ends_by_itself() {
    common::raise_descriptor_limit();
    let first_seed = number_from_environment("SOAK_FIRST_SEED", 1);
    let seed_count = number_from_environment("SOAK_SEEDS", DEFAULT_SEEDS);
    let running = Arc::new(Semaphore::new(LIVES_AT_A_TIME));
    let mut lives = JoinSet::new();
    for seed in first_seed..first_seed + seed_count {
        let running = running.clone();
        lives.spawn(async move {
            let _permit = running.acquire_owned().await.expect("the semaphore is open");
            Life::new(seed).run().await
        });
    }
    let mut reports = lives.join_all().await;
    reports.sort_by_key(|report| report.seed);
    let mut violations = Vec::new();
    for report in reports {
        println!("{report}");
        violations.extend(report.violations);
    }
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}
