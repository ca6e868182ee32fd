//! Retries: what the rules permit for a request, what the budget pays for, and which attempts are cancelled
//! to be retried.

mod budget;
mod decision;
mod permission;

pub use budget::RetryBudget;
pub use decision::{may_cancel_and_retry, may_retry};
pub use permission::{AttemptPermission, RetryScope};
