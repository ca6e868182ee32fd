//! A harness for the real agent on loopback sockets: scripted servers and discovery, the agent's process, and
//! clients that speak plain bytes.
#![allow(dead_code, reason = "each test file is a program of its own and uses a part of the harness")]

pub mod agent;
pub mod client;
pub mod config;
pub mod discovery;
pub mod kernel;
pub mod messages;
pub mod server;
pub mod setup;
pub mod sockets;

use std::future::Future;
use std::time::Duration;

/// Nothing that is waited for takes nearly as long; a test that reaches this limit has failed.
const TIME_LIMIT: Duration = Duration::from_secs(30);

/// Awaits a future.
///
/// # Panics
///
/// If the future takes longer than any test may; `what` names it in the message.
pub async fn within_time_limit<T>(what: &str, future: impl Future<Output = T>) -> T {
    tokio::time::timeout(TIME_LIMIT, future).await.unwrap_or_else(|_| panic!("{what} did not happen"))
}
