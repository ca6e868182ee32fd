//! The errors of a session, and of actions that cannot be encoded. Their texts use the wire's names.

use balancer_core::{ServerId, SettingsError};
use std::{fmt, io};
use thiserror::Error;

/// The position of a line whose round cannot be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InputPosition {
    /// It is the first line.
    FirstRound,
    /// It is the line after the batch of this round.
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

/// An error that ends a session.
#[derive(Debug, Error)]
pub enum SessionError {
    /// Reading the input failed.
    #[error("cannot read the input: {0}")]
    UnreadableInput(#[source] io::Error),
    /// A line is not a batch in the wire's format.
    #[error("{position}: not a batch: {source}")]
    MalformedBatch {
        /// The position of the line.
        position: InputPosition,
        /// The JSON error.
        source: serde_json::Error,
    },
    /// A batch cannot be handled.
    #[error("round {round}: {source}")]
    InvalidBatch {
        /// The batch's round.
        round: u64,
        /// What is wrong.
        source: BatchError,
    },
    /// A reply cannot be encoded in JSON.
    #[error("round {round}: {source}")]
    UnencodableReply {
        /// The reply's round.
        round: u64,
        /// The JSON error.
        source: serde_json::Error,
    },
    /// Writing the output failed.
    #[error("round {round}: cannot write the reply: {source}")]
    UnwritableOutput {
        /// The reply's round.
        round: u64,
        /// The I/O error.
        source: io::Error,
    },
}

/// Why a batch cannot be handled.
#[derive(Debug, Error)]
pub enum BatchError {
    /// The batch's time is negative or not finite.
    #[error("tMs is {clock_ms}; a time of zero or more was expected")]
    InvalidClock {
        /// The time, in milliseconds.
        clock_ms: f64,
    },
    /// An event is not valid.
    #[error("instance {instance}: {source}")]
    InvalidEvent {
        /// The instance that the event is for.
        instance: u32,
        /// What is wrong.
        source: EventError,
    },
}

/// Why an event is not valid.
#[derive(Debug, Error)]
pub enum EventError {
    /// The instance has not been started.
    #[error("an event came before ATTACH: {event}")]
    NotAttached {
        /// The event's name on the wire.
        event: &'static str,
    },
    /// The settings are not valid for a balancer.
    #[error(transparent)]
    InvalidSettings(#[from] SettingsError),
    /// A REGISTRY event with endpoints gives no list number.
    #[error("REGISTRY names no catalogue")]
    MissingListNumber,
    /// A REGISTRY event gives the number of a list that no CATALOG event has set up.
    #[error("REGISTRY names catalogue {list_number}, which no CATALOG has set up")]
    UnknownList {
        /// The list number.
        list_number: u32,
    },
    /// A new request has the id of a request that is still in use.
    #[error("REQUEST {request_id} came twice")]
    DuplicateRequest {
        /// The request's id.
        request_id: String,
    },
    /// A PROBED event is about a server that was in no list of this instance.
    #[error("PROBED names backend {server}, which no list has named")]
    UnknownServer {
        /// The server's name.
        server: String,
    },
    /// The payload of a MAIL event is not hexadecimal.
    #[error("MAIL holds {payload:?}; an even number of hex digits was expected")]
    InvalidPayload {
        /// The payload.
        payload: String,
    },
}

/// Why an action cannot be encoded. Each is a bug in the decision code.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum ActionError {
    /// It is about a request that never arrived, or that is finished and has been removed.
    #[error("an action for a request that is not open")]
    UnknownRequest,
    /// It is about a server that was in no list of this instance.
    #[error("an action for server number {}, which no list has named", .0.0)]
    UnknownServer(ServerId),
}
