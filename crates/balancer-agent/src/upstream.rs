//! Connections to servers, and the attempts and health checks that are sent over them.
//!
//! An exchange is one request and its response. A connection carries one exchange at a time and is reused
//! only after a complete response. If an exchange ends in any other way (a timeout, a cancellation, an
//! error), its connection is closed.

mod attempt;
mod client;
mod counting_stream;
mod pool;
mod request_write;
mod response;

pub use attempt::{AttemptProgress, AttemptResult};
pub use client::ServerClient;
pub use pool::{ConnectionPool, PoolLimits};

/// The maximum size of the body of a request or a response, in bytes (PROTOCOL page).
pub const MAX_BODY_BYTES: usize = 64 << 10;
/// The maximum size of the head of a response and of each of hyper's buffers, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;
