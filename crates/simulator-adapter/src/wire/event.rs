//! The wire format of events.

use balancer_settings::WireSettings;
use serde::Deserialize;
use std::borrow::Cow;

/// The bit of [`WireRequest::flags`] that marks the cost hint as valid.
pub const FLAG_VALID_COST_HINT: u64 = 1;
/// The bit of [`WireRequest::flags`] that marks the request as the client's own retry.
pub const FLAG_CLIENT_RETRY: u64 = 2;

/// An event for an instance, or an endpoint list for all instances.
#[derive(Debug, Deserialize)]
pub enum WireEvent<'a> {
    /// The instance starts.
    #[serde(rename = "ATTACH")]
    Attach(WireAttach),
    /// The instance ends. A later [`WireEvent::Attach`] starts a new instance with the same number.
    #[serde(rename = "RETIRE")]
    Retire {},
    /// A new endpoint list. Later events of any instance can refer to the list by its number.
    #[serde(rename = "CATALOG", borrow)]
    EndpointList(WireEndpointList<'a>),
    /// The endpoint list has changed, or the watch of the list has failed.
    #[serde(rename = "REGISTRY")]
    EndpointUpdate(WireEndpointUpdate),
    /// A request has arrived.
    #[serde(rename = "REQUEST", borrow)]
    Request(WireRequest<'a>),
    /// The response to a streaming request has begun.
    #[serde(rename = "FIRST_BYTE", borrow)]
    FirstByte(WireFirstByte<'a>),
    /// An attempt has ended.
    #[serde(rename = "DONE", borrow)]
    AttemptEnded(WireAttemptEnded<'a>),
    /// The client has disconnected.
    #[serde(rename = "ABORTED")]
    ClientDisconnected {
        /// The id of the request.
        #[serde(borrow, rename = "ticket")]
        request_id: Cow<'a, str>,
    },
    /// A timer is due.
    #[serde(rename = "ELAPSED")]
    TimerDue {
        /// The number of the timer.
        #[serde(rename = "keyBack")]
        timer: u64,
    },
    /// A health check has ended.
    #[serde(rename = "PROBED", borrow)]
    HealthChecked(WireHealthChecked<'a>),
    /// A gossip message has arrived from another instance.
    #[serde(rename = "MAIL", borrow)]
    Gossip(WireGossip<'a>),
}

impl WireEvent<'_> {
    /// Returns the name of the event on the wire.
    pub fn name(&self) -> &'static str {
        match self {
            WireEvent::Attach(_) => "ATTACH",
            WireEvent::Retire {} => "RETIRE",
            WireEvent::EndpointList(_) => "CATALOG",
            WireEvent::EndpointUpdate(_) => "REGISTRY",
            WireEvent::Request(_) => "REQUEST",
            WireEvent::FirstByte(_) => "FIRST_BYTE",
            WireEvent::AttemptEnded(_) => "DONE",
            WireEvent::ClientDisconnected { .. } => "ABORTED",
            WireEvent::TimerDue { .. } => "ELAPSED",
            WireEvent::HealthChecked(_) => "PROBED",
            WireEvent::Gossip(_) => "MAIL",
        }
    }
}

/// The seed and settings of an instance that starts.
#[derive(Debug, Deserialize)]
pub struct WireAttach {
    /// The seed of the balancer's random number generator.
    #[serde(rename = "salt")]
    pub seed: u64,
    /// The settings of the instance.
    #[serde(rename = "params")]
    pub settings: Box<WireSettings>,
}

/// An endpoint list and its number.
#[derive(Debug, Deserialize)]
pub struct WireEndpointList<'a> {
    /// The number of the list. A later list with the same number replaces this one.
    #[serde(rename = "ref")]
    pub list_number: u32,
    /// The entries of the list.
    #[serde(borrow, rename = "membersList")]
    pub endpoints: Vec<WireEndpoint<'a>>,
}

/// An entry of an endpoint list.
#[derive(Debug, Deserialize)]
pub struct WireEndpoint<'a> {
    /// The name of the server.
    #[serde(borrow, rename = "backend")]
    pub server: Cow<'a, str>,
    /// The zone of the server.
    #[serde(rename = "campus", default)]
    pub zone: u32,
    /// The machine kind of the server.
    #[serde(rename = "classOfHost", default)]
    pub machine_kind: u32,
    /// The cell of the server.
    #[serde(rename = "cluster", default)]
    pub cell: u32,
    /// Whether the server accepts requests.
    pub status: WireEndpointStatus,
    /// A weight whose meaning depends on the setting [`EndpointWeights`](balancer_core::EndpointWeights).
    #[serde(rename = "units", default)]
    pub weight: Option<f64>,
    /// When the server's process last started, in milliseconds; zero or absent if that was long ago.
    #[serde(rename = "lastStartMs", default)]
    pub started_at_ms: Option<f64>,
}

/// Whether a server accepts requests, as the endpoint list states it.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum WireEndpointStatus {
    /// The server accepts requests.
    Serving,
    /// The server completes the requests that it has and must not be sent new ones.
    Draining,
    /// The server is no longer in the endpoint list.
    #[serde(rename = "DELETED")]
    Removed,
}

/// A change of the endpoint list of one instance, or the failure to receive changes.
#[derive(Debug, Deserialize)]
pub struct WireEndpointUpdate {
    /// How the update changes the endpoint list.
    pub form: WireUpdateForm,
    /// The version of the endpoint list. The adapter does not use the version, but an event without one is
    /// invalid.
    #[serde(rename = "rev")]
    pub _revision: i64,
    /// The number of the [`WireEndpointList`] that holds the endpoints. A failure needs no number.
    #[serde(rename = "ref", default)]
    pub list_number: Option<u32>,
}

/// How an update changes the endpoint list of an instance.
#[derive(Debug, Clone, Copy, Deserialize)]
pub enum WireUpdateForm {
    /// The update holds only the entries that have changed.
    #[serde(rename = "Partial")]
    Changes,
    /// The update holds the complete list.
    Complete,
    /// The update holds the complete list as it was cached before a restart. The list may be stale.
    #[serde(rename = "Persisted")]
    Cached,
    /// A poll failed or the watch broke. The update holds no list.
    #[serde(rename = "Error")]
    Failed,
}

/// A new request from a client.
#[derive(Debug, Deserialize)]
pub struct WireRequest<'a> {
    /// The id of the request.
    #[serde(borrow, rename = "ticket")]
    pub request_id: Cow<'a, str>,
    /// The index of the tenant that sent the request.
    #[serde(rename = "party", default)]
    pub tenant: Option<usize>,
    /// The index of the request's class.
    #[serde(rename = "cls")]
    pub class: usize,
    /// The name of the object that the request concerns.
    #[serde(borrow, rename = "affinity", default)]
    pub routing_key: Option<Cow<'a, str>>,
    /// The client's estimate of the request's work, as the milliseconds that one core needs for it. The
    /// estimate is valid only if [`FLAG_VALID_COST_HINT`] is set.
    #[serde(rename = "estimateMs", default)]
    pub cost_hint_ms: Option<f64>,
    /// A set of the bits [`FLAG_VALID_COST_HINT`] and [`FLAG_CLIENT_RETRY`].
    #[serde(rename = "opts", default)]
    pub flags: Option<u64>,
    /// How long the client still waits for the response, in milliseconds.
    #[serde(rename = "expiresInMs")]
    pub time_left_ms: f64,
}

/// The beginning of the response to a streaming request.
#[derive(Debug, Deserialize)]
pub struct WireFirstByte<'a> {
    /// The id of the request.
    #[serde(borrow, rename = "ticket")]
    pub request_id: Cow<'a, str>,
    /// The number of the attempt whose response has begun.
    pub attempt: u32,
}

/// The end of an attempt.
#[derive(Debug, Deserialize)]
pub struct WireAttemptEnded<'a> {
    /// The id of the request.
    #[serde(borrow, rename = "ticket")]
    pub request_id: Cow<'a, str>,
    /// Whether the client has received its final response.
    #[serde(rename = "finished")]
    pub is_request_finished: bool,
    /// The time since the attempt was sent, in milliseconds.
    #[serde(rename = "timeTakenMs")]
    pub elapsed_ms: f64,
    /// How the attempt ended.
    #[serde(rename = "ending")]
    pub outcome: WireOutcome,
    /// The number of the attempt.
    pub attempt: u32,
    /// The values of the server's load report, if one was received.
    #[serde(rename = "gauge", default)]
    pub load_report: Option<Vec<f64>>,
}

/// The end of a health check.
#[derive(Debug, Deserialize)]
pub struct WireHealthChecked<'a> {
    /// The name of the server that was checked.
    #[serde(borrow, rename = "backend")]
    pub server: Cow<'a, str>,
    /// How the check ended.
    #[serde(rename = "ending")]
    pub outcome: WireOutcome,
    /// The time since the check was sent, in milliseconds.
    #[serde(rename = "timeTakenMs")]
    pub elapsed_ms: f64,
    /// The values of the server's load report, if one was received.
    #[serde(rename = "gauge", default)]
    pub load_report: Option<Vec<f64>>,
}

/// How an attempt or a health check ended.
#[derive(Debug, Clone, Copy, Deserialize)]
pub enum WireOutcome {
    /// The server served the request.
    #[serde(rename = "done")]
    Success,
    /// The server responded with an error. The request may have run.
    #[serde(rename = "err")]
    ServerError,
    /// The server rejected the request. It did not run.
    #[serde(rename = "busy")]
    Rejected,
    /// No response came in time. The request may have run or may still be running.
    #[serde(rename = "etimedout")]
    TimedOut,
    /// No connection for the attempt or the health check could be established in time. The request did not
    /// run.
    #[serde(rename = "econnrefused")]
    ConnectFailed,
    /// The connection broke. The request may have run.
    #[serde(rename = "econnreset")]
    ConnectionReset,
    /// The attempt was cancelled. The request may have run.
    #[serde(rename = "ecanceled")]
    Cancelled,
    /// The attempt or the health check was not sent. The request did not run.
    #[serde(rename = "skipped")]
    NotSent,
}

/// A gossip message from another instance.
#[derive(Debug, Deserialize)]
pub struct WireGossip<'a> {
    /// The number of the instance that sent the message.
    #[serde(rename = "srcPeer")]
    pub sender: u32,
    /// The contents of the message, in hexadecimal.
    #[serde(borrow, rename = "raw")]
    pub payload: Cow<'a, str>,
}
