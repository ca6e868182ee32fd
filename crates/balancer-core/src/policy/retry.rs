//! Retries: what the rules permit for a request, and the budget that retries are paid from.

use crate::state::{ActiveRequest, AttemptState, Budget};
use crate::{Balancer, CellId, DedupScope, Effect, Settings, Time, ZoneId};

/// Each request earns this much of a retry, saved up to the burst.
const RETRY_PRICE: f64 = 1.0;
const BUDGET_RATIO: f64 = 0.1;
const MAX_BUDGET: f64 = 10.0;
/// In a sparse view the burst is one: many balancers would all spend more in the same overload.
const MAX_SPARSE_BUDGET: f64 = 1.0;

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
        let first = active.attempts.iter().find(|attempt| attempt.state != AttemptState::DidNotRun);
        let (scope, write_by, may_reject) = match (first, settings.classes[active.class()].effect) {
            (None, _) | (_, Effect::Idempotent) => (RetryScope::Anywhere, None, true),
            (Some(_), Effect::AtMostOnce) => (RetryScope::Nowhere, None, false),
            (Some(first), Effect::Deduplicated { scope, window }) => {
                let write_by = first.sent_at + window;
                let is_too_late = now + settings.connect_timeout > write_by;
                let retry_scope = match scope {
                    _ if is_too_late => RetryScope::Nowhere,
                    DedupScope::Fleet => RetryScope::Anywhere,
                    DedupScope::Zone => RetryScope::Zone(first.zone),
                    DedupScope::Cell => RetryScope::Cell(first.cell),
                };
                (retry_scope, Some(write_by), scope == DedupScope::Fleet)
            }
        };
        let is_closed = active.attempts.len() >= settings.max_attempts as usize
            || active.is_bound_to_stream
            || now >= active.deadline
            || (active.has_attempt_in_flight() && !settings.allows_hedging);
        let scope = if is_closed { RetryScope::Nowhere } else { scope };
        AttemptPermission { scope, write_by, may_reject: may_reject && !active.is_bound_to_stream }
    }
}

impl Balancer {
    /// A full budget of retries of requests that may have run.
    pub(crate) fn full_retry_budget() -> Budget {
        Budget::new(MAX_BUDGET)
    }

    /// Earns the part of a retry that one request is worth.
    pub(crate) fn earn_retry(&mut self) {
        let burst = if self.is_sparse() { MAX_SPARSE_BUDGET } else { MAX_BUDGET };
        self.retry_budget.earn(BUDGET_RATIO, burst);
    }

    /// Whether the budget pays for a retry.
    pub(crate) fn can_pay_retry(&self) -> bool {
        self.retry_budget.balance() >= RETRY_PRICE
    }

    /// Pays for a retry.
    pub(crate) fn pay_retry(&mut self) {
        self.retry_budget.spend(RETRY_PRICE);
    }
}

#[cfg(test)]
mod tests;
