//! Records a sequence of actions as a digest and counts the actions by kind.

use balancer_core::{Action, Notice, Span, Time};
use fnv::FnvHasher;
use std::collections::BTreeMap;
use std::hash::Hasher;

/// The encoding of an absent value.
const ABSENT: u64 = u64::MAX;
/// The encoded contents of an action that carries no data.
const NO_CONTENTS: u64 = 1;

/// A kind of action. The numbers of the kinds are part of the digests and must not change. Number 9 belonged
/// to a kind that no longer exists.
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
    /// All kinds of action.
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

    /// Returns the kind of an action.
    pub fn of(action: &Action) -> Self {
        match action {
            Action::Send { .. } => ActionKind::Send,
            Action::Cancel { .. } => ActionKind::Cancel,
            Action::Reject { .. } => ActionKind::Reject,
            Action::Fail { .. } => ActionKind::Fail,
            Action::SetTimer { .. } => ActionKind::SetTimer,
            Action::CheckHealth { .. } => ActionKind::CheckHealth,
            Action::CloseIdle { .. } => ActionKind::CloseIdle,
            Action::Gossip { .. } => ActionKind::Gossip,
            Action::WatchEndpoints => ActionKind::WatchEndpoints,
            Action::Notify(_) => ActionKind::Notify,
        }
    }
}

/// The digest of a sequence of actions, and the number of its actions of each kind.
#[derive(Default)]
pub struct ActionRecorder {
    hasher: FnvHasher,
    counts: BTreeMap<ActionKind, u64>,
}

impl ActionRecorder {
    /// Adds an action that the balancer returned at `now` to the digest and to the counts.
    pub fn record(&mut self, now: Time, action: &Action) {
        let kind = ActionKind::of(action);
        *self.counts.entry(kind).or_default() += 1;
        self.hasher.write_u64(now.as_micros());
        self.hasher.write_u64(kind as u64);
        for word in encode_contents(action) {
            self.hasher.write_u64(word);
        }
    }

    /// Returns the digest of all recorded actions.
    pub fn digest(&self) -> u64 {
        self.hasher.finish()
    }

    /// Returns the number of recorded actions of a kind.
    pub fn count(&self, kind: ActionKind) -> u64 {
        self.counts.get(&kind).copied().unwrap_or_default()
    }
}

/// Encodes the contents of an action as 64-bit words.
fn encode_contents(action: &Action) -> Vec<u64> {
    match action {
        Action::Send { request, server, timeout_at, write_by } => {
            let write_by = write_by.map_or(ABSENT, Time::as_micros);
            vec![request.0, server.0.into(), timeout_at.as_micros(), write_by]
        }
        Action::Cancel { request, attempt } => vec![request.0, attempt.0.into()],
        Action::Reject { request, retry_after } => {
            vec![request.0, retry_after.map_or(ABSENT, Span::as_micros)]
        }
        Action::Fail { request } => vec![request.0],
        Action::SetTimer { at, timer } => vec![at.as_micros(), timer.number()],
        Action::CheckHealth { server } | Action::CloseIdle { server } => vec![server.0.into()],
        Action::Gossip { to, payload } => {
            let mut contents = vec![to.map_or(ABSENT, |peer| peer.0.into())];
            contents.extend(payload.iter().map(|byte| u64::from(*byte)));
            contents
        }
        Action::WatchEndpoints => vec![NO_CONTENTS],
        Action::Notify(notice) => encode_notice(notice),
    }
}

/// Encodes the contents of a notice as 64-bit words. Ratios are rounded to two decimals, because the digests
/// were recorded when the balancer formatted its log lines itself, with two decimals.
fn encode_notice(notice: &Notice) -> Vec<u64> {
    let Notice::ServerEjected { server, latency_ratio, fleet_median, .. } = notice else {
        panic!("unknown kind of notice: {notice:?}");
    };
    let ratios = [latency_ratio, fleet_median].map(|ratio| round_to_two_decimals(ratio.value()));
    [f64::from(server.0), ratios[0], ratios[1]].map(f64::to_bits).to_vec()
}

/// Rounds a value in the same way as the formatting of log lines does.
fn round_to_two_decimals(value: f64) -> f64 {
    format!("{value:.2}").parse().expect("a formatted number should parse")
}
