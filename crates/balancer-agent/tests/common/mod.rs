//! A harness for the agent on loopback sockets: scripted servers and discovery, the agent's process, and
//! clients that write and read raw bytes.
#![allow(dead_code, reason = "each test file is a separate crate and uses only part of the harness")]

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

/// How long a test waits for anything. What a test waits for takes far less time, even on a busy machine.
const TIME_LIMIT: Duration = Duration::from_secs(30);

/// Awaits a future.
///
/// # Panics
///
/// If the future is not ready within the time limit; `what` names it in the message.
pub async fn within_time_limit<T>(what: &str, future: impl Future<Output = T>) -> T {
    tokio::time::timeout(TIME_LIMIT, future).await.unwrap_or_else(|_| panic!("{what} did not happen"))
}
