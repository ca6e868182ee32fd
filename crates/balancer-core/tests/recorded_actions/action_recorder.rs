//! The digest of a sequence of actions.

use balancer_core::{Action, Notice, Time};
use fnv::FnvHasher;
use std::collections::BTreeMap;
use std::hash::Hasher;

/// Stands for a value that is absent.
const NONE: u64 = u64::MAX;
/// What is recorded of an action without contents.
const NO_CONTENTS: u64 = 1;

/// A kind of action; its number goes into the digests. Number 9 belonged to a kind that is no more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ActionKind {
    Send = 0,
    Cancel = 1,
    Reject = 2,
    Fail = 3,
    SetTimer = 4,
    CheckHealth = 5,
    CloseIdle = 6,
    Gossip = 7,
    WatchEndpoints = 8,
    Notify = 10,
}

impl ActionKind {
    pub const ALL: [ActionKind; 10] = [
        ActionKind::Send,
        ActionKind::Cancel,
        ActionKind::Reject,
        ActionKind::Fail,
        ActionKind::SetTimer,
        ActionKind::CheckHealth,
        ActionKind::CloseIdle,
        ActionKind::Gossip,
        ActionKind::WatchEndpoints,
        ActionKind::Notify,
    ];
}

/// Takes the digest of actions and counts them by kind.
#[derive(Default)]
pub struct ActionRecorder {
    hasher: FnvHasher,
    counts: BTreeMap<ActionKind, u64>,
}

impl ActionRecorder {
    /// Adds an action to the digest.
    pub fn record(&mut self, now: Time, action: &Action) {
        let (kind, contents) = encode(action);
        *self.counts.entry(kind).or_default() += 1;
        self.hasher.write_u64(now.0);
        self.hasher.write_u64(kind as u64);
        for word in contents {
            self.hasher.write_u64(word);
        }
    }

    pub fn digest(&self) -> u64 {
        self.hasher.finish()
    }

    pub fn count(&self, kind: ActionKind) -> u64 {
        self.counts.get(&kind).copied().unwrap_or_default()
    }
}

/// The contents of an action in numbers.
fn encode(action: &Action) -> (ActionKind, Vec<u64>) {
    match action {
        Action::Send { request, server, timeout_at, write_by } => {
            let write_by = write_by.map_or(NONE, |at| at.0);
            (ActionKind::Send, vec![request.0, server.0.into(), timeout_at.0, write_by])
        }
        Action::Cancel { request, attempt } => (ActionKind::Cancel, vec![request.0, attempt.0.into()]),
        Action::Reject { request, retry_after } => {
            (ActionKind::Reject, vec![request.0, retry_after.map_or(NONE, |after| after.0)])
        }
        Action::Fail { request } => (ActionKind::Fail, vec![request.0]),
        Action::SetTimer { at, timer } => (ActionKind::SetTimer, vec![at.0, timer.number()]),
        Action::CheckHealth { server } => (ActionKind::CheckHealth, vec![server.0.into()]),
        Action::CloseIdle { server } => (ActionKind::CloseIdle, vec![server.0.into()]),
        Action::Gossip { to, payload } => {
            let mut contents = vec![to.map_or(NONE, |peer| peer.0.into())];
            contents.extend(payload.iter().map(|byte| u64::from(*byte)));
            (ActionKind::Gossip, contents)
        }
        Action::WatchEndpoints => (ActionKind::WatchEndpoints, vec![NO_CONTENTS]),
        Action::Notify(notice) => (ActionKind::Notify, encode_notice(notice)),
    }
}

/// The contents of a notice in numbers. Ratios count to two decimals, as the digests were recorded when the
/// balancer still worded its log lines itself.
fn encode_notice(notice: &Notice) -> Vec<u64> {
    let Notice::ServerEjected { server, latency_ratio, fleet_median, .. } = notice else {
        panic!("a notice of an unknown kind: {notice:?}");
    };
    let ratios = [latency_ratio, fleet_median].map(|ratio| two_decimals(ratio.value()));
    [f64::from(server.0), ratios[0], ratios[1]].map(f64::to_bits).to_vec()
}

fn two_decimals(value: f64) -> f64 {
    format!("{value:.2}").parse().expect("a number")
}
