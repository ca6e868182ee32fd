//! Actions as they stand on the wire.

use serde::Serialize;

/// The receiver of gossip that goes to every other instance.
pub const ALL_PEERS: i64 = -1;

/// An action.
#[derive(Debug, PartialEq, Serialize)]
pub enum WireAction {
    /// Send an attempt of a request.
    #[serde(rename = "ROUTE")]
    Send {
        /// The request.
        #[serde(rename = "ticket")]
        request_id: String,
        /// The server's name.
        #[serde(rename = "backend")]
        server: String,
        /// When the attempt times out.
        #[serde(rename = "untilMs")]
        timeout_at_ms: f64,
    },
    /// Cancel an attempt.
    #[serde(rename = "ABANDON")]
    Cancel {
        /// The request.
        #[serde(rename = "ticket")]
        request_id: String,
        /// The attempt's number.
        attempt: u32,
    },
    /// End a request as rejected.
    #[serde(rename = "OVERLOAD_REPLY")]
    Reject {
        /// The request.
        #[serde(rename = "ticket")]
        request_id: String,
        /// When a retry makes sense.
        #[serde(rename = "notBeforeForMs")]
        retry_after_ms: Option<f64>,
    },
    /// End a request as failed.
    #[serde(rename = "ABORT")]
    Fail {
        /// The request.
        #[serde(rename = "ticket")]
        request_id: String,
    },
    /// Set a timer.
    #[serde(rename = "TIMER")]
    SetTimer {
        /// When it is due.
        #[serde(rename = "atMs")]
        at_ms: f64,
        /// What names it when it is due.
        #[serde(rename = "keyBack")]
        timer: u64,
    },
    /// Send a health check.
    #[serde(rename = "HEALTH_CHECK")]
    CheckHealth {
        /// The server's name.
        #[serde(rename = "backend")]
        server: String,
    },
    /// Close idle connections.
    #[serde(rename = "CLOSE_IDLE")]
    CloseIdle {
        /// The server's name.
        #[serde(rename = "backend")]
        server: String,
    },
    /// Send gossip.
    #[serde(rename = "ANNOUNCE")]
    Gossip {
        /// The receiver's number, or [`ALL_PEERS`].
        #[serde(rename = "to")]
        receiver: i64,
        /// What it holds, in hexadecimal digits.
        #[serde(rename = "raw")]
        payload: String,
    },
    /// Open or close the watch of the endpoint list.
    #[serde(rename = "FOLLOW")]
    WatchEndpoints {
        /// Whether to open it.
        #[serde(rename = "active")]
        is_active: bool,
    },
    /// Put a text into the simulator's report.
    #[serde(rename = "NOTE_DOWN")]
    Log {
        /// The text.
        #[serde(rename = "what")]
        text: String,
    },
    /// Report a bug of the decision code; the simulator stops and shows the text.
    #[serde(rename = "BUG")]
    ReportBug {
        /// The text.
        #[serde(rename = "what")]
        text: String,
    },
}
