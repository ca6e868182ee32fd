//! Wire format of actions.

use serde::Serialize;

/// The receiver of gossip that is sent to every other instance.
pub const ALL_PEERS: i64 = -1;

/// An action of an instance, for the simulator to carry out.
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
        /// When the attempt times out, in milliseconds.
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
    /// Answer a request as rejected.
    #[serde(rename = "OVERLOAD_REPLY")]
    Reject {
        /// The request.
        #[serde(rename = "ticket")]
        request_id: String,
        /// How long the client should wait before a retry, in milliseconds.
        #[serde(rename = "notBeforeForMs")]
        retry_after_ms: Option<f64>,
    },
    /// Answer a request as failed.
    #[serde(rename = "ABORT")]
    Fail {
        /// The request.
        #[serde(rename = "ticket")]
        request_id: String,
    },
    /// Set a timer.
    #[serde(rename = "TIMER")]
    SetTimer {
        /// When it is due, in milliseconds.
        #[serde(rename = "atMs")]
        at_ms: f64,
        /// The timer's number, which the event of the due timer repeats.
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
    /// Close the idle connections to a server.
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
        /// The payload, in hexadecimal digits.
        #[serde(rename = "raw")]
        payload: String,
    },
    /// Start or stop watching the endpoint list.
    #[serde(rename = "FOLLOW")]
    WatchEndpoints {
        /// Whether to start the watch.
        #[serde(rename = "active")]
        is_active: bool,
    },
    /// Add a text to the simulator's report.
    #[serde(rename = "NOTE_DOWN")]
    Log {
        /// The text.
        #[serde(rename = "what")]
        text: String,
    },
    /// Report a bug in the decision code; the simulator stops and shows the text.
    #[serde(rename = "BUG")]
    ReportBug {
        /// The text.
        #[serde(rename = "what")]
        text: String,
    },
}
