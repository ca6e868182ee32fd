//! Polls of candidates for their load.

use super::registry::ServerIndex;
use crate::{RequestId, Time};

/// A request whose candidates are being polled for their load.
pub struct LoadPoll {
    pub request: RequestId,
    pub candidates: Vec<ServerIndex>,
    pub started_at: Time,
    /// The choice waits no longer than this.
    pub answer_by: Time,
}
