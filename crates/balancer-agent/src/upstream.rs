//! Connections to servers, and the attempts and health checks that are sent over them.
//!
//! A connection carries one exchange at a time and is reused only after a complete answer. If an exchange ends
//! in any other way (a timeout, a cancellation, an error), its connection is closed.

mod attempt;
mod client;
mod counted_stream;
mod pool;
mod request_on_wire;
mod response;

pub use attempt::{AttemptOutcome, AttemptProgress};
pub use client::ServerClient;
pub use pool::{ConnectionPool, PoolLimits};

/// Most bytes of a request's or an answer's body (PROTOCOL page).
pub const MAX_BODY: usize = 64 << 10;
/// Most bytes of an answer's head, and of hyper's buffers.
const MAX_HEAD: usize = 16 << 10;
