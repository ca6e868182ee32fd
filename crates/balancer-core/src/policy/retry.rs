//! Retries: which servers another attempt may be sent to, how many retries the budget allows, and which
//! attempts are cancelled so that their requests can be retried.

mod budget;
mod decision;
mod permission;

pub use budget::RetryBudget;
pub use decision::{may_cancel_and_retry, may_retry};
pub use permission::{AttemptPermission, RetryScope};
