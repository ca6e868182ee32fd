//! Wire format of events.

use balancer_settings::WireSettings;
use serde::Deserialize;
use std::borrow::Cow;

/// Bit of [`WireRequest::flags`]: the cost hint is valid.
pub const FLAG_VALID_COST_HINT: u64 = 1;
/// Bit of [`WireRequest::flags`]: the client marks the request as its own retry.
pub const FLAG_CLIENT_RETRY: u64 = 2;

/// An event of an instance, or of the process.
#[derive(Debug, Deserialize)]
pub enum WireEvent<'a> {
    /// The instance starts.
    #[serde(rename = "ATTACH")]
    Attach(WireAttach),
    /// The instance ends, or restarts if another start follows.
    #[serde(rename = "RETIRE")]
    Retire {},
    /// An endpoint list, to which later events of all instances of the process refer by number.
    #[serde(rename = "CATALOG", borrow)]
    EndpointList(WireEndpointList<'a>),
    /// An update from discovery.
    #[serde(rename = "REGISTRY")]
    EndpointUpdate(WireEndpointUpdate),
    /// A request has arrived.
    #[serde(rename = "REQUEST", borrow)]
    Request(WireRequest<'a>),
    /// The first byte of a streamed response has arrived.
    #[serde(rename = "FIRST_BYTE", borrow)]
    FirstByte(WireFirstByte<'a>),
    /// An attempt has ended.
    #[serde(rename = "DONE", borrow)]
    AttemptEnded(WireAttemptEnded<'a>),
    /// The client has disconnected.
    #[serde(rename = "ABORTED")]
    ClientDisconnected {
        /// The request.
        #[serde(borrow, rename = "ticket")]
        request_id: Cow<'a, str>,
    },
    /// A timer is due.
    #[serde(rename = "ELAPSED")]
    TimerDue {
        /// The timer's number.
        #[serde(rename = "keyBack")]
        timer: u64,
    },
    /// A health check has ended.
    #[serde(rename = "PROBED", borrow)]
    HealthChecked(WireHealthChecked<'a>),
    /// Gossip has arrived.
    #[serde(rename = "MAIL", borrow)]
    Gossip(WireGossip<'a>),
}

impl WireEvent<'_> {
    /// The event's name on the wire.
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

/// The start of an instance.
#[derive(Debug, Deserialize)]
pub struct WireAttach {
    /// The seed of its random number generator.
    #[serde(rename = "salt")]
    pub seed: u64,
    /// Its settings.
    #[serde(rename = "params")]
    pub settings: Box<WireSettings>,
}

/// An endpoint list under its number.
#[derive(Debug, Deserialize)]
pub struct WireEndpointList<'a> {
    /// The list's number; a later list may replace this one under the same number.
    #[serde(rename = "ref")]
    pub list_number: u32,
    /// The entries.
    #[serde(borrow, rename = "membersList")]
    pub endpoints: Vec<WireEndpoint<'a>>,
}

/// An entry of an endpoint list.
#[derive(Debug, Deserialize)]
pub struct WireEndpoint<'a> {
    /// The server's name.
    #[serde(borrow, rename = "backend")]
    pub server: Cow<'a, str>,
    /// The server's zone.
    #[serde(rename = "campus", default)]
    pub zone: u32,
    /// The server's kind of machine.
    #[serde(rename = "classOfHost", default)]
    pub machine_kind: u32,
    /// The server's cell.
    #[serde(rename = "cluster", default)]
    pub cell: u32,
    /// Whether the server accepts requests.
    pub status: WireEndpointStatus,
    /// The server's weight relative to the others.
    #[serde(rename = "units", default)]
    pub weight: Option<f64>,
    /// When the server last started, in milliseconds; zero or absent if that was long ago.
    #[serde(rename = "lastStartMs", default)]
    pub started_at_ms: Option<f64>,
}

/// Whether a server accepts requests.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum WireEndpointStatus {
    /// It accepts them.
    Serving,
    /// It finishes its open requests and accepts no new ones.
    Draining,
    /// It is no longer in the list.
    #[serde(rename = "DELETED")]
    Removed,
}

/// An update from discovery for one instance.
#[derive(Debug, Deserialize)]
pub struct WireEndpointUpdate {
    /// How the list relates to the list before it.
    pub form: WireUpdateForm,
    /// The list's version. It is not used, but required.
    #[serde(rename = "rev")]
    pub _revision: i64,
    /// The number of the list; without meaning if discovery has failed.
    #[serde(rename = "ref", default)]
    pub list_number: Option<u32>,
}

/// How a list relates to the list before it.
#[derive(Debug, Clone, Copy, Deserialize)]
pub enum WireUpdateForm {
    /// It holds only the changed entries.
    #[serde(rename = "Partial")]
    Changes,
    /// It is complete.
    Complete,
    /// It is complete, and was saved before a restart.
    #[serde(rename = "Persisted")]
    Cached,
    /// There is no list: a call has failed or the watch has ended.
    #[serde(rename = "Error")]
    Failed,
}

/// A request that has arrived.
#[derive(Debug, Deserialize)]
pub struct WireRequest<'a> {
    /// The request's id.
    #[serde(borrow, rename = "ticket")]
    pub request_id: Cow<'a, str>,
    /// The tenant that sent it.
    #[serde(rename = "party", default)]
    pub tenant: Option<usize>,
    /// The request's class.
    #[serde(rename = "cls")]
    pub class: usize,
    /// The object that it concerns.
    #[serde(borrow, rename = "affinity", default)]
    pub routing_key: Option<Cow<'a, str>>,
    /// An estimate of the work of the request, in milliseconds of core time; see [`FLAG_VALID_COST_HINT`].
    #[serde(rename = "estimateMs", default)]
    pub cost_hint_ms: Option<f64>,
    /// A bit set: [`FLAG_VALID_COST_HINT`] and [`FLAG_CLIENT_RETRY`].
    #[serde(rename = "opts", default)]
    pub flags: Option<u64>,
    /// How long the client still waits for an answer, in milliseconds.
    #[serde(rename = "expiresInMs")]
    pub time_left_ms: f64,
}

/// The first byte of a streamed response.
#[derive(Debug, Deserialize)]
pub struct WireFirstByte<'a> {
    /// The request.
    #[serde(borrow, rename = "ticket")]
    pub request_id: Cow<'a, str>,
    /// The attempt's number.
    pub attempt: u32,
}

/// The end of an attempt.
#[derive(Debug, Deserialize)]
pub struct WireAttemptEnded<'a> {
    /// The request.
    #[serde(borrow, rename = "ticket")]
    pub request_id: Cow<'a, str>,
    /// Whether the request has had its final answer.
    #[serde(rename = "finished")]
    pub is_request_finished: bool,
    /// The time since the attempt was sent, in milliseconds.
    #[serde(rename = "timeTakenMs")]
    pub elapsed_ms: f64,
    /// How it ended.
    #[serde(rename = "ending")]
    pub outcome: WireOutcome,
    /// The attempt's number.
    pub attempt: u32,
    /// The server's load report.
    #[serde(rename = "gauge", default)]
    pub load_report: Option<Vec<f64>>,
}

/// The end of a health check.
#[derive(Debug, Deserialize)]
pub struct WireHealthChecked<'a> {
    /// The server's name.
    #[serde(borrow, rename = "backend")]
    pub server: Cow<'a, str>,
    /// How it ended.
    #[serde(rename = "ending")]
    pub outcome: WireOutcome,
    /// The time since the check was sent, in milliseconds.
    #[serde(rename = "timeTakenMs")]
    pub elapsed_ms: f64,
    /// The server's load report.
    #[serde(rename = "gauge", default)]
    pub load_report: Option<Vec<f64>>,
}

/// How an attempt or a health check ended.
#[derive(Debug, Clone, Copy, Deserialize)]
pub enum WireOutcome {
    /// The request was served.
    #[serde(rename = "done")]
    Success,
    /// The server answered with an error.
    #[serde(rename = "err")]
    ServerError,
    /// The server rejected the request without processing it.
    #[serde(rename = "busy")]
    Rejected,
    /// There was no answer in time.
    #[serde(rename = "etimedout")]
    TimedOut,
    /// No connection was established in time.
    #[serde(rename = "econnrefused")]
    ConnectFailed,
    /// The connection broke.
    #[serde(rename = "econnreset")]
    ConnectionReset,
    /// It was cancelled.
    #[serde(rename = "ecanceled")]
    Cancelled,
    /// It was never sent.
    #[serde(rename = "skipped")]
    NotSent,
}

/// Gossip from another instance.
#[derive(Debug, Deserialize)]
pub struct WireGossip<'a> {
    /// The sender's number.
    #[serde(rename = "srcPeer")]
    pub sender: u32,
    /// The payload, in hexadecimal digits.
    #[serde(borrow, rename = "raw")]
    pub payload: Cow<'a, str>,
}
