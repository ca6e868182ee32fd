//! The retries and rejections that are allowed after an attempt that may have run, which depend on the effect
//! of the request's class.

use super::observed_request::{ObservedAttempt, ObservedRequest};
use balancer_core::{CellId, DedupScope, Effect, Endpoint, Time, ZoneId};

/// The servers that a request may be sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AllowedTargets {
    /// All servers of the fleet.
    All,
    /// No server.
    None,
    /// The servers of one zone.
    Zone(ZoneId),
    /// The servers of one cell.
    Cell(CellId),
}

impl AllowedTargets {
    /// Returns the servers that a request with this effect may be sent to now, after its previous attempts.
    pub fn of(request: &ObservedRequest, effect: Effect, now: Time) -> Self {
        let Some(attempt) = request.first_attempt_that_may_have_run() else { return AllowedTargets::All };
        match effect {
            Effect::Idempotent => AllowedTargets::All,
            Effect::AtMostOnce => AllowedTargets::None,
            Effect::Deduplicated { scope, window } => {
                let is_past_window = now.since(attempt.sent_at) > window;
                if is_past_window {
                    AllowedTargets::None
                } else {
                    AllowedTargets::within(scope, attempt)
                }
            }
        }
    }

    /// Returns the servers that would recognise another attempt of the same request as a retry of `attempt`.
    fn within(scope: DedupScope, attempt: &ObservedAttempt) -> Self {
        match scope {
            DedupScope::Fleet => AllowedTargets::All,
            DedupScope::Zone => AllowedTargets::Zone(attempt.zone),
            DedupScope::Cell => AllowedTargets::Cell(attempt.cell),
        }
    }

    /// Returns whether a server is outside the zone or cell that the request is restricted to.
    pub fn is_outside_scope(self, endpoint: &Endpoint) -> bool {
        match self {
            AllowedTargets::All | AllowedTargets::None => false,
            AllowedTargets::Zone(zone) => zone != endpoint.zone,
            AllowedTargets::Cell(cell) => cell != endpoint.cell,
        }
    }
}

/// Returns whether a request with this effect may be rejected. The client of a rejected request may retry it,
/// and the retry must not duplicate the effect.
pub fn may_reject(request: &ObservedRequest, effect: Effect) -> bool {
    let may_have_run = request.first_attempt_that_may_have_run().is_some();
    match effect {
        Effect::Idempotent => true,
        Effect::AtMostOnce => !may_have_run,
        Effect::Deduplicated { scope, .. } => !may_have_run || scope == DedupScope::Fleet,
    }
}
