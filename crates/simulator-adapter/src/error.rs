//! What ends a session before its input does. The texts are for the people who read the simulator's report.

use balancer_core::{ServerId, SettingsError};
use std::{fmt, io};
use thiserror::Error;

/// Where in the input a line stands that does not tell its round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InputPosition {
    /// It is the first line.
    FirstRound,
    /// It follows the batch of this round.
    AfterRound(u64),
}

impl fmt::Display for InputPosition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            InputPosition::FirstRound => write!(formatter, "the first round"),
            InputPosition::AfterRound(round) => write!(formatter, "the round after {round}"),
        }
    }
}

/// What ends a session.
#[derive(Debug, Error)]
pub enum SessionError {
    /// The input failed.
    #[error("cannot read the input: {0}")]
    UnreadableInput(#[source] io::Error),
    /// A line is no batch as the wire has them.
    #[error("{position}: not a batch: {source}")]
    MalformedBatch {
        /// Where the line stands.
        position: InputPosition,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// A batch cannot be played.
    #[error("round {round}: {source}")]
    UnplayableBatch {
        /// The batch's round.
        round: u64,
        /// What is wrong with it.
        source: BatchError,
    },
    /// A reply cannot be put into JSON.
    #[error("round {round}: {source}")]
    UnencodableReply {
        /// The reply's round.
        round: u64,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// The output failed.
    #[error("round {round}: cannot write the reply: {source}")]
    UnwritableOutput {
        /// The reply's round.
        round: u64,
        /// How it failed.
        source: io::Error,
    },
}

/// Why a batch cannot be played.
#[derive(Debug, Error)]
pub enum BatchError {
    /// The batch's time is no time.
    #[error("tMs is {clock_ms}; a time of zero or more was expected")]
    InvalidClock {
        /// The time that it gives.
        clock_ms: f64,
    },
    /// An event makes no sense.
    #[error("instance {instance}: {source}")]
    InvalidEvent {
        /// The instance that the event is for.
        instance: u32,
        /// What is wrong with it.
        source: EventError,
    },
}

/// Why an event makes no sense.
#[derive(Debug, Error)]
pub enum EventError {
    /// The instance has not been started.
    #[error("an event came before ATTACH: {event}")]
    NotAttached {
        /// The event's name on the wire.
        event: &'static str,
    },
    /// No balancer can work with the settings.
    #[error(transparent)]
    InvalidSettings(#[from] SettingsError),
    /// A REGISTRY event that should refer to a list refers to none.
    #[error("REGISTRY names no catalogue")]
    ListNotNamed,
    /// A REGISTRY event refers to a list that has not come.
    #[error("REGISTRY names catalogue {list_number}, which no CATALOG has set up")]
    UnknownList {
        /// The number that it gives.
        list_number: u32,
    },
    /// The id of a new request is that of a request which is still known.
    #[error("REQUEST {request_id} came twice")]
    DuplicateRequest {
        /// The id.
        request_id: String,
    },
    /// A health check is reported of a server that the instance cannot know.
    #[error("PROBED names backend {server}, which no list has named")]
    UnknownServer {
        /// The server's name.
        server: String,
    },
    /// Gossip is not in hexadecimal form.
    #[error("MAIL holds {payload:?}; an even number of hex digits was expected")]
    InvalidPayload {
        /// What it holds.
        payload: String,
    },
}

/// Why an action cannot be put on the wire: a bug of the decision code.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum ActionError {
    /// It is about a request that has not come or has been forgotten.
    #[error("an action for a request that is not open")]
    UnknownRequest,
    /// It is about a server that the instance has not been told of.
    #[error("an action for server number {}, which no list has named", .0.0)]
    UnknownServer(ServerId),
}
