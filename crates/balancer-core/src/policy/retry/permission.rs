//! What the rules permit for a request.

use crate::policy::requests::{ActiveRequest, Attempt, AttemptState};
use crate::{CellId, DedupScope, Effect, Settings, Time, ZoneId};

/// The servers that an attempt may go to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryScope {
    Nowhere,
    Anywhere,
    Zone(ZoneId),
    Cell(CellId),
}

/// What the rules still permit for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptPermission {
    /// Where another attempt may go.
    pub scope: RetryScope,
    /// The last byte of a retry must be written by then.
    pub write_by: Option<Time>,
    /// The request may be rejected, which promises its client that a retry is harmless.
    pub may_reject: bool,
}

impl AttemptPermission {
    /// What the rules permit now: all of "no duplicated effect" (WIRE page, section 2, rule 2) is here.
    pub fn of(settings: &Settings, active: &ActiveRequest, now: Time) -> Self {
        let by_effect = Self::by_effect(settings, active, now);
        let scope = if is_closed(settings, active, now) { RetryScope::Nowhere } else { by_effect.scope };
        AttemptPermission {
            scope,
            may_reject: by_effect.may_reject && !active.is_bound_to_stream,
            ..by_effect
        }
    }

    /// What the effect of the class permits after the attempts so far.
    fn by_effect(settings: &Settings, active: &ActiveRequest, now: Time) -> Self {
        let first_run = active.attempts.iter().find(|attempt| attempt.state != AttemptState::DidNotRun);
        let unrestricted =
            AttemptPermission { scope: RetryScope::Anywhere, write_by: None, may_reject: true };
        let Some(first_run) = first_run else { return unrestricted };
        match settings.class(active.class()).effect {
            Effect::Idempotent => unrestricted,
            Effect::AtMostOnce => {
                AttemptPermission { scope: RetryScope::Nowhere, write_by: None, may_reject: false }
            }
            Effect::Deduplicated { scope, window } => {
                let write_by = first_run.sent_at + window;
                AttemptPermission {
                    scope: deduplicated_scope(scope, first_run, write_by, now + settings.connect_timeout),
                    write_by: Some(write_by),
                    may_reject: scope == DedupScope::Fleet,
                }
            }
        }
    }
}

/// The servers that still drop a repeat of `first_run` when it is written at `written_at`.
fn deduplicated_scope(
    scope: DedupScope,
    first_run: &Attempt,
    write_by: Time,
    written_at: Time,
) -> RetryScope {
    if written_at > write_by {
        return RetryScope::Nowhere;
    }
    match scope {
        DedupScope::Fleet => RetryScope::Anywhere,
        DedupScope::Zone => RetryScope::Zone(first_run.zone),
        DedupScope::Cell => RetryScope::Cell(first_run.cell),
    }
}

/// Whether no further attempt is permitted, whatever the effect.
fn is_closed(settings: &Settings, active: &ActiveRequest, now: Time) -> bool {
    let has_used_all_attempts = active.attempts.len() >= settings.max_attempts as usize;
    let needs_hedging = active.has_attempt_in_flight() && !settings.allows_hedging;
    has_used_all_attempts || active.is_bound_to_stream || now >= active.deadline || needs_hedging
}

#[cfg(test)]
mod tests;
