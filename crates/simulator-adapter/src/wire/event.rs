//! Events as they stand on the wire.

use balancer_settings::WireSettings;
use serde::Deserialize;
use std::borrow::Cow;

/// Bit of [`WireRequest::flags`]: the cost hint is valid.
pub const FLAG_VALID_COST_HINT: u64 = 1;
/// Bit of [`WireRequest::flags`]: the client says that this is a retry of its own.
pub const FLAG_CLIENT_RETRY: u64 = 2;

/// An event.
#[derive(Debug, Deserialize)]
pub enum WireEvent<'a> {
    /// The instance starts.
    #[serde(rename = "ATTACH")]
    Attach(WireAttach),
    /// The instance dies.
    #[serde(rename = "RETIRE")]
    Retire {},
    /// An endpoint list, for later reference by all instances of the process.
    #[serde(rename = "CATALOG", borrow)]
    EndpointList(WireEndpointList<'a>),
    /// News of discovery.
    #[serde(rename = "REGISTRY")]
    EndpointUpdate(WireEndpointUpdate),
    /// A request has arrived.
    #[serde(rename = "REQUEST", borrow)]
    Request(WireRequest<'a>),
    /// A stream has begun.
    #[serde(rename = "FIRST_BYTE", borrow)]
    FirstByte(WireFirstByte<'a>),
    /// An attempt is over.
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
        /// The timer.
        #[serde(rename = "keyBack")]
        timer: u64,
    },
    /// A health check is over.
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

/// What an instance is told at its start.
#[derive(Debug, Deserialize)]
pub struct WireAttach {
    /// The seed of its random draws.
    #[serde(rename = "salt")]
    pub seed: u64,
    /// Its settings.
    #[serde(rename = "params")]
    pub settings: Box<WireSettings>,
}

/// An endpoint list under its number.
#[derive(Debug, Deserialize)]
pub struct WireEndpointList<'a> {
    /// The number by which instances are referred to it.
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
    /// Its zone.
    #[serde(rename = "campus", default)]
    pub zone: u32,
    /// Its kind of machine.
    #[serde(rename = "classOfHost", default)]
    pub machine_kind: u32,
    /// Its cell.
    #[serde(rename = "cluster", default)]
    pub cell: u32,
    /// Whether it takes requests.
    pub status: WireEndpointStatus,
    /// Its size among the others.
    #[serde(rename = "units", default)]
    pub weight: Option<f64>,
    /// When it last started; zero or absent if long ago.
    #[serde(rename = "lastStartMs", default)]
    pub started_at_ms: Option<f64>,
}

/// Whether a server takes requests.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum WireEndpointStatus {
    /// It does.
    Serving,
    /// It finishes what it has.
    Draining,
    /// It has left the list.
    #[serde(rename = "DELETED")]
    Removed,
}

/// News of discovery for one instance.
#[derive(Debug, Deserialize)]
pub struct WireEndpointUpdate {
    /// How the list is to be read.
    pub form: WireUpdateForm,
    /// Nothing is done with it, but an update without it is no update.
    #[serde(rename = "rev")]
    pub _revision: i64,
    /// The number of the list; of no meaning if discovery has failed.
    #[serde(rename = "ref", default)]
    pub list_number: Option<u32>,
}

/// How a list relates to the list before it.
#[derive(Debug, Clone, Copy, Deserialize)]
pub enum WireUpdateForm {
    /// It holds only what has changed.
    #[serde(rename = "Partial")]
    Changes,
    /// It is complete.
    Complete,
    /// It is complete, and was saved before a restart.
    #[serde(rename = "Persisted")]
    Cached,
    /// There is no list: a call failed or the watch broke.
    #[serde(rename = "Error")]
    Failed,
}

/// A request.
#[derive(Debug, Deserialize)]
pub struct WireRequest<'a> {
    /// Its id.
    #[serde(borrow, rename = "ticket")]
    pub request_id: Cow<'a, str>,
    /// The tenant that sent it.
    #[serde(rename = "party", default)]
    pub tenant: Option<usize>,
    /// Its class.
    #[serde(rename = "cls")]
    pub class: usize,
    /// The object that it concerns.
    #[serde(borrow, rename = "affinity", default)]
    pub routing_key: Option<Cow<'a, str>>,
    /// A guess at its work; see [`FLAG_VALID_COST_HINT`].
    #[serde(rename = "estimateMs", default)]
    pub cost_hint_ms: Option<f64>,
    /// A sum of bits.
    #[serde(rename = "opts", default)]
    pub flags: Option<u64>,
    /// How long the client still waits for an answer.
    #[serde(rename = "expiresInMs")]
    pub time_left_ms: f64,
}

/// The begin of a stream.
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
    /// The time since the attempt was sent.
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
    /// The time since the check was sent.
    #[serde(rename = "timeTakenMs")]
    pub elapsed_ms: f64,
    /// The server's load report.
    #[serde(rename = "gauge", default)]
    pub load_report: Option<Vec<f64>>,
}

/// How an attempt or a health check ended.
#[derive(Debug, Clone, Copy, Deserialize)]
pub enum WireOutcome {
    /// Served.
    #[serde(rename = "done")]
    Success,
    /// The server answered with an error.
    #[serde(rename = "err")]
    ServerError,
    /// The server rejected it unprocessed.
    #[serde(rename = "busy")]
    Rejected,
    /// No answer in time.
    #[serde(rename = "etimedout")]
    TimedOut,
    /// No connection could be made in time.
    #[serde(rename = "econnrefused")]
    ConnectFailed,
    /// The connection broke.
    #[serde(rename = "econnreset")]
    ConnectionReset,
    /// Cancelled.
    #[serde(rename = "ecanceled")]
    Cancelled,
    /// Never sent.
    #[serde(rename = "skipped")]
    NotSent,
}

/// Gossip from another instance.
#[derive(Debug, Deserialize)]
pub struct WireGossip<'a> {
    /// The sender's number.
    #[serde(rename = "srcPeer")]
    pub sender: u32,
    /// What it holds, in hexadecimal digits.
    #[serde(borrow, rename = "raw")]
    pub payload: Cow<'a, str>,
}
