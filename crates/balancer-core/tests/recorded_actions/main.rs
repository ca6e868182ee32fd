//! Runs long simulations with fixed seeds and compares the digest of all actions of each simulation with a
//! recorded digest.
//!
//! A balancer reads no clock and starts no thread, so equal seeds and events give equal actions. A change
//! that is not meant to affect decisions (names, modules, types) must leave every digest as it is. A change
//! that is meant to affect decisions must be in a commit of its own, which records the new digests and states
//! that decisions change.

#[path = "../common/mod.rs"]
mod common;

mod action_recorder;
mod clients;
mod context;
mod fleet;
mod scenarios;
mod schedule;
mod simulation;

use action_recorder::ActionKind;
use scenarios::*;
use simulation::Simulation;
use std::collections::BTreeMap;

/// A scenario and the digest of the balancer's actions when the scenario was recorded.
struct Recording {
    /// The name of the scenario in failure messages.
    name: &'static str,
    scenario: Scenario,
    /// The recorded digest.
    digest: u64,
}

/// Returns all scenarios with their recorded digests.
fn recordings() -> Vec<Recording> {
    let recording = |name, scenario, digest| Recording { name, scenario, digest };
    vec![
        recording("few balancers, endpoints pushed", few_balancers_pushed(), 0x3779_d27f_308c_ecbd),
        recording("few balancers, endpoints on request", few_balancers_on_request(), 0xf5e4_c423_fe8a_27cb),
        recording("costly cross-zone attempts", costly_cross_zone_attempts(), 0x9819_6ab1_7383_a411),
        recording("routing keys", routing_keys(), 0x83e9_1088_601f_ee65),
        recording("tenants over their share", tenants_over_their_share(), 0xc8f6_659b_7287_559b),
        recording("high load on two servers", high_load_on_two_servers(), 0x79d4_41a1_1f42_0ec9),
        recording("few balancers, long run", few_balancers_long_run(), 0xc1a9_b648_f0e4_f2dc),
        recording("many balancers, endpoints pushed", many_balancers_pushed(), 0x75f6_8dea_ab2d_eec9),
        recording("many balancers, endpoints on request", many_balancers_on_request(), 0x2cd8_56e8_b8f7_9803),
        recording("many balancers, cheap load polls", many_balancers_cheap_polls(), 0xaf4f_8c0b_da66_cb71),
        recording("many balancers, costly load polls", many_balancers_costly_polls(), 0x17f9_b167_2f7b_c36f),
        recording("many balancers, overloaded", many_balancers_overloaded(), 0x33f5_cbd5_0ecf_d6c6),
        recording("burst beyond the queue capacity", burst_beyond_queue_capacity(), 0x1988_5e84_7ac0_b13b),
        recording("many balancers, late responses", many_balancers_late_responses(), 0x402d_1c48_995a_cedb),
        recording("many balancers, fast servers", many_balancers_fast_servers(), 0x44f9_8251_e970_7d40),
        recording("many balancers, long run", many_balancers_long_run(), 0xa7cf_8cbb_9120_905e),
    ]
}

#[test]
fn actions_equal_the_recorded_ones() {
    let mut differences = Vec::new();
    for Recording { name, scenario, digest: expected } in recordings() {
        let digest = Simulation::new(scenario).run().digest();
        if digest != expected {
            differences.push(format!("{name}: digest {digest:#018x}, recorded {expected:#018x}"));
        }
    }
    assert!(differences.is_empty(), "actions differ from the recorded ones:\n{}", differences.join("\n"));
}

/// Guards against a scenario in which the balancer sends few attempts, and against a kind of action that is
/// rare in all scenarios. The digests would hardly ever show a changed decision in these cases.
#[test]
fn scenarios_cover_every_kind_of_action() {
    let mut totals: BTreeMap<ActionKind, u64> = BTreeMap::new();
    for Recording { name, scenario, .. } in recordings() {
        let recorder = Simulation::new(scenario).run();
        let send_count = recorder.count(ActionKind::Send);
        assert!(send_count > 100, "{name}: only {send_count} attempts were sent");
        for kind in ActionKind::ALL {
            *totals.entry(kind).or_default() += recorder.count(kind);
        }
    }
    let rare: Vec<ActionKind> = ActionKind::ALL.into_iter().filter(|kind| totals[kind] < 20).collect();
    assert!(rare.is_empty(), "rare kinds of action: {rare:?}; all counts: {totals:?}");
}
