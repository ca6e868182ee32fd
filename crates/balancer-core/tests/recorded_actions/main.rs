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
        recording("few balancers, endpoints pushed", few_balancers_pushed(), 0xdaaf_9398_7af1_a3ac),
        recording("few balancers, endpoints on request", few_balancers_on_request(), 0xf5e4_c423_fe8a_27cb),
        recording("costly cross-zone attempts", costly_cross_zone_attempts(), 0x9819_6ab1_7383_a411),
        recording("routing keys", routing_keys(), 0x8d2f_5b10_9458_b656),
        recording("tenants over their share", tenants_over_their_share(), 0xc8f6_659b_7287_559b),
        recording("high load on two servers", high_load_on_two_servers(), 0x79d4_41a1_1f42_0ec9),
        recording("few balancers, long run", few_balancers_long_run(), 0xc1a9_b648_f0e4_f2dc),
        recording("many balancers, endpoints pushed", many_balancers_pushed(), 0xc48f_57af_acc7_d63a),
        recording("many balancers, endpoints on request", many_balancers_on_request(), 0xe739_cf58_ccb8_3bee),
        recording("many balancers, cheap load polls", many_balancers_cheap_polls(), 0x8df8_13ef_ee59_d5bd),
        recording("many balancers, costly load polls", many_balancers_costly_polls(), 0x847e_4336_1449_7ff7),
        recording("many balancers, overloaded", many_balancers_overloaded(), 0xe0c7_7b2d_54bf_1d2b),
        recording("burst beyond the queue capacity", burst_beyond_queue_capacity(), 0xdc87_fde0_0fc5_81f4),
        recording("many balancers, late responses", many_balancers_late_responses(), 0x402d_1c48_995a_cedb),
        recording("many balancers, fast servers", many_balancers_fast_servers(), 0x44f9_8251_e970_7d40),
        recording("many balancers, long run", many_balancers_long_run(), 0xc982_4a9d_fd2d_51e5),
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
