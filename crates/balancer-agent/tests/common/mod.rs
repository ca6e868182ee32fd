//! The test harness: runs the agent's process on loopback sockets, with servers, clients and a discovery
//! service that the test controls.
#![allow(dead_code, reason = "each test file is a separate crate and uses only part of the harness")]

pub mod agent;
pub mod client;
pub mod config;
pub mod crowd;
pub mod discovery;
pub mod kernel;
pub mod messages;
pub mod server;
pub mod setup;
pub mod sockets;

use std::future::Future;
use std::time::Duration;

/// The longest time that a test waits for one event. Every expected event takes far less time, even on a busy
/// machine.
const TIME_LIMIT: Duration = Duration::from_secs(30);

/// Raises the limit on descriptors of the test's process, which holds both ends of most connections.
pub fn raise_descriptor_limit() {
    use nix::sys::resource::{getrlimit, setrlimit, Resource};
    let (_, hard_limit) = getrlimit(Resource::RLIMIT_NOFILE).expect("the limit should be readable");
    setrlimit(Resource::RLIMIT_NOFILE, hard_limit, hard_limit).expect("the limit should be raised");
}

/// Waits for a future and returns its output.
///
/// # Panics
///
/// Panics if the future is not ready within the time limit. `event` describes the future in the message.
pub async fn within_time_limit<T>(event: &str, future: impl Future<Output = T>) -> T {
    tokio::time::timeout(TIME_LIMIT, future).await.unwrap_or_else(|_| panic!("timed out waiting for {event}"))
}
