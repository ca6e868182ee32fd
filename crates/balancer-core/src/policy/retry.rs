//! Retries: where the rules permit another attempt, which retries the budget allows, and which attempts are
//! cancelled so that their requests can be retried.

mod budget;
mod decision;
mod permission;

pub use budget::RetryBudget;
pub use decision::{may_cancel_and_retry, may_retry};
pub use permission::{AttemptPermission, RetryScope};
