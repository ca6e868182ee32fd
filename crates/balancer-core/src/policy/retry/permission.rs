//! The rules that limit the attempts of a request, above all to prevent duplicated effects.

use crate::policy::requests::{ActiveRequest, Attempt, AttemptState};
use crate::{CellId, DedupScope, Effect, Settings, Time, ZoneId};

/// The servers that an attempt may be sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryScope {
    /// No server.
    Nowhere,
    /// Every server.
    Anywhere,
    /// The servers in a zone.
    Zone(ZoneId),
    /// The servers in a cell.
    Cell(CellId),
}

/// What the rules still permit for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptPermission {
    /// The servers that the next attempt may be sent to.
    pub scope: RetryScope,
    /// The time by which the last byte of a retry must be written, if there is a limit.
    pub write_by: Option<Time>,
    /// Whether the request may be rejected. A rejection promises the client that retrying the request is
    /// harmless.
    pub may_reject: bool,
}

impl AttemptPermission {
    /// Returns what the rules permit for the request now.
    ///
    /// This function implements the whole rule "no duplicated effect" (WIRE page, section 2, rule 2).
    pub fn of(settings: &Settings, active: &ActiveRequest, now: Time) -> Self {
        let by_effect = Self::by_effect(settings, active, now);
        let scope =
            if is_attempt_forbidden(settings, active, now) { RetryScope::Nowhere } else { by_effect.scope };
        AttemptPermission {
            scope,
            may_reject: by_effect.may_reject && !active.is_bound_to_stream,
            ..by_effect
        }
    }

    /// Returns what the effect of the request's class permits. Everything is permitted as long as none of
    /// the attempts so far may have run.
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

/// Returns the servers that recognise a retry as a duplicate of `first_run`, which is the first attempt that
/// may have run.
///
/// After `write_by`, no server recognises the retry. `latest_write_at` is the latest time at which the retry
/// is written.
fn deduplicated_scope(
    scope: DedupScope,
    first_run: &Attempt,
    write_by: Time,
    latest_write_at: Time,
) -> RetryScope {
    if latest_write_at > write_by {
        return RetryScope::Nowhere;
    }
    match scope {
        DedupScope::Fleet => RetryScope::Anywhere,
        DedupScope::Zone => RetryScope::Zone(first_run.zone),
        DedupScope::Cell => RetryScope::Cell(first_run.cell),
    }
}

/// Returns whether another attempt is forbidden, regardless of the effect of the request's class.
fn is_attempt_forbidden(settings: &Settings, active: &ActiveRequest, now: Time) -> bool {
    let has_used_all_attempts = active.attempts.len() >= settings.max_attempts as usize;
    let is_forbidden_hedge = active.has_attempt_in_flight() && !settings.allows_hedging;
    has_used_all_attempts || active.is_bound_to_stream || now >= active.deadline || is_forbidden_hedge
}

#[cfg(test)]
mod tests;
