//! The decision whether a request is retried.

use super::budget::RetryBudget;
use super::permission::{AttemptPermission, RetryScope};
use crate::policy::deadline::Timeliness;
use crate::policy::requests::ActiveRequest;
use crate::{AttemptId, Effect, Outcome};

/// Returns whether a request is retried after its last attempt ended with `outcome` and without a final
/// response.
///
/// The rules must permit the retry, the budget must allow it, and it must be able to get a response in time.
/// A retry needs no budget if `outcome` proves that the attempt did not run.
pub fn may_retry(
    active: &ActiveRequest,
    outcome: Outcome,
    budget: &RetryBudget,
    timeliness: &Timeliness<'_>,
) -> bool {
    let permission = AttemptPermission::of(timeliness.settings, active, timeliness.now);
    let is_permitted = permission.scope != RetryScope::Nowhere;
    let is_within_budget = outcome.proves_not_run() || budget.allows_retry();
    is_permitted && is_within_budget && !timeliness.is_too_late(active)
}

/// Returns whether an overdue attempt is cancelled so that its request can be retried.
///
/// The attempt must be the last one that was sent for the request, the request must have attempts left, and
/// the settings must allow cancelling. The effect of the class must permit a retry although the attempt may
/// have run. The budget must allow the retry, and the retry must be able to get a response in time.
///
/// The window and the scope of a deduplicated class are not checked here. [`may_retry`] checks the window
/// when the cancelled attempt has ended.
pub fn may_cancel_and_retry(
    active: &ActiveRequest,
    attempt: AttemptId,
    budget: &RetryBudget,
    timeliness: &Timeliness<'_>,
) -> bool {
    let settings = timeliness.settings;
    let effect_allows_retry = settings.class(active.class()).effect != Effect::AtMostOnce;
    let is_last_attempt = attempt.attempt.0 as usize + 1 == active.attempts.len();
    let has_attempts_left = active.attempts.len() < settings.max_attempts as usize;
    let is_permitted = effect_allows_retry && is_last_attempt && has_attempts_left && settings.allows_cancel;
    is_permitted && budget.allows_retry() && !timeliness.is_too_late(active)
}
