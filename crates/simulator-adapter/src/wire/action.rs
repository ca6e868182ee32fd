//! The wire format of actions.

use serde::Serialize;

/// The value of [`WireAction::Gossip::receiver`] for a message to all other instances.
pub const ALL_PEERS: i64 = -1;

/// An action of an instance, to be carried out by the simulator.
#[derive(Debug, PartialEq, Serialize)]
pub enum WireAction {
    /// Send an attempt.
    #[serde(rename = "ROUTE")]
    Send {
        /// The id of the request.
        #[serde(rename = "ticket")]
        request_id: String,
        /// The name of the server to which the attempt is sent.
        #[serde(rename = "backend")]
        server: String,
        /// The time at which the attempt times out, in milliseconds.
        #[serde(rename = "untilMs")]
        timeout_at_ms: f64,
    },
    /// Cancel an attempt.
    #[serde(rename = "ABANDON")]
    Cancel {
        /// The id of the request.
        #[serde(rename = "ticket")]
        request_id: String,
        /// The number of the attempt.
        attempt: u32,
    },
    /// Reject a request as its final response.
    #[serde(rename = "OVERLOAD_REPLY")]
    Reject {
        /// The id of the request.
        #[serde(rename = "ticket")]
        request_id: String,
        /// The delay after which the client should retry, in milliseconds; `None` if there is no advice for
        /// the client.
        #[serde(rename = "notBeforeForMs")]
        retry_after_ms: Option<f64>,
    },
    /// Fail a request as its final response.
    #[serde(rename = "ABORT")]
    Fail {
        /// The id of the request.
        #[serde(rename = "ticket")]
        request_id: String,
    },
    /// Set a timer.
    #[serde(rename = "TIMER")]
    SetTimer {
        /// The time at which the timer is due, in milliseconds.
        #[serde(rename = "atMs")]
        at_ms: f64,
        /// The number of the timer, by which [`WireEvent::TimerDue`](super::WireEvent::TimerDue) refers to
        /// it.
        #[serde(rename = "keyBack")]
        timer: u64,
    },
    /// Send a health check to a server.
    #[serde(rename = "HEALTH_CHECK")]
    CheckHealth {
        /// The name of the server to check.
        #[serde(rename = "backend")]
        server: String,
    },
    /// Close this instance's idle connections to a server.
    #[serde(rename = "CLOSE_IDLE")]
    CloseIdle {
        /// The name of the server whose connections are closed.
        #[serde(rename = "backend")]
        server: String,
    },
    /// Send a gossip message to one other instance, or to all of them.
    #[serde(rename = "ANNOUNCE")]
    Gossip {
        /// The number of the receiving instance, or [`ALL_PEERS`].
        #[serde(rename = "to")]
        receiver: i64,
        /// The contents of the message, in hexadecimal.
        #[serde(rename = "raw")]
        payload: String,
    },
    /// Open or close a watch of the endpoint list.
    #[serde(rename = "FOLLOW")]
    WatchEndpoints {
        /// Whether to open the watch; if not, the watch is closed.
        #[serde(rename = "active")]
        is_active: bool,
    },
    /// Add a message to the simulator's report.
    #[serde(rename = "NOTE_DOWN")]
    Log {
        /// The text of the message.
        #[serde(rename = "what")]
        text: String,
    },
    /// Report a bug in the decision code. The simulator stops and shows the text.
    #[serde(rename = "BUG")]
    ReportBug {
        /// The description of the bug.
        #[serde(rename = "what")]
        text: String,
    },
}
