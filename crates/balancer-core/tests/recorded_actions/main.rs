//! Runs long seeded simulations and compares the digest of all actions of each with the recorded digest.
//!
//! A balancer reads no clock and starts no thread, so equal seeds and events give equal actions. A change
//! that is not meant to affect decisions (names, modules, types) must leave every digest as it is. A change
//! that is meant to affect decisions records new digests in its own commit and says so.

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

/// A scenario and the digest of its actions when it was recorded.
struct Recording {
    name: &'static str,
    scenario: Scenario,
    digest: u64,
}

/// The recordings, made before the code was reorganised.
fn recordings() -> Vec<Recording> {
    let recording = |name, scenario, digest| Recording { name, scenario, digest };
    vec![
        recording("few balancers, endpoints pushed", few_balancers_pushed(), 0x3779_d27f_308c_ecbd),
        recording("few balancers, endpoints polled", few_balancers_polling(), 0xf5e4_c423_fe8a_27cb),
        recording("costly zones and few servers", costly_zones_and_few_servers(), 0x9819_6ab1_7383_a411),
        recording("routing keys", routing_keys(), 0x83e9_1088_601f_ee65),
        recording("tenants over their share", tenants_over_their_share(), 0xc8f6_659b_7287_559b),
        recording("burst on a tiny fleet", burst_on_a_tiny_fleet(), 0x79d4_41a1_1f42_0ec9),
        recording("long-lived fleet", long_lived_fleet(), 0xc1a9_b648_f0e4_f2dc),
        recording("many balancers, endpoints pushed", many_balancers_pushed(), 0x75f6_8dea_ab2d_eec9),
        recording("many balancers, endpoints polled", many_balancers_polling(), 0x2cd8_56e8_b8f7_9803),
        recording("many balancers, cheap load polls", many_balancers_cheap_polls(), 0xaf4f_8c0b_da66_cb71),
        recording("many balancers, costly load polls", many_balancers_costly_polls(), 0x17f9_b167_2f7b_c36f),
        recording("many balancers, overloaded", many_balancers_overloaded(), 0x33f5_cbd5_0ecf_d6c6),
        recording("burst over the queue", burst_over_the_queue(), 0x1988_5e84_7ac0_b13b),
        recording("many balancers, all late", many_balancers_all_late(), 0x402d_1c48_995a_cedb),
        recording("many balancers, quick servers", many_balancers_quick_servers(), 0x44f9_8251_e970_7d40),
        recording("many balancers, long-lived", many_balancers_long_lived(), 0xa7cf_8cbb_9120_905e),
    ]
}

#[test]
fn actions_equal_the_recorded_ones() {
    let mut changes = Vec::new();
    for Recording { name, scenario, digest: expected } in recordings() {
        let digest = Simulation::new(scenario).run().digest();
        if digest != expected {
            changes.push(format!("{name}: {digest:#018x}, recorded {expected:#018x}"));
        }
    }
    assert!(changes.is_empty(), "other actions than recorded:\n{}", changes.join("\n"));
}

/// The digests of scenarios with few actions, or few kinds of action, would show little.
#[test]
fn scenarios_cover_every_kind_of_action() {
    let mut totals: BTreeMap<ActionKind, u64> = BTreeMap::new();
    for Recording { name, scenario, .. } in recordings() {
        let recorder = Simulation::new(scenario).run();
        let send_count = recorder.count(ActionKind::Send);
        assert!(send_count > 100, "{name}: {send_count} sends");
        for kind in ActionKind::ALL {
            *totals.entry(kind).or_default() += recorder.count(kind);
        }
    }
    let rare: Vec<ActionKind> = ActionKind::ALL.into_iter().filter(|kind| totals[kind] < 20).collect();
    assert!(rare.is_empty(), "kinds of action hardly seen: {rare:?} of {totals:?}");
}
