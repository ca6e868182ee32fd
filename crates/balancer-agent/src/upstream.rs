//! Connections to servers, and what goes over them: attempts and health checks.
//!
//! A connection carries one exchange at a time and is used again only after a complete answer. Whatever else
//! ends an exchange (a timeout, a cancellation, an error) ends its connection with it.

mod attempt;
mod client;
mod counted_stream;
mod pool;
mod response;

pub use attempt::{AttemptOutcome, AttemptProgress};
pub use client::ServerClient;
pub use pool::{ConnectionPool, PoolLimits};

/// The longest body of either direction (PROTOCOL page).
pub const MAX_BODY: usize = 64 << 10;
/// The longest head of an answer, and the most that hyper buffers.
const MAX_HEAD: usize = 16 << 10;
