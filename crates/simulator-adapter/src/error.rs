//! The errors that end a session, and the errors of actions that cannot be encoded. The messages use the
//! names on the wire.

use balancer_core::{ServerId, SettingsError};
use std::{fmt, io};
use thiserror::Error;

/// The position of an input line whose round is unknown because the line is not a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InputPosition {
    /// The first line.
    FirstRound,
    /// The line after the batch with this round.
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
    /// A line is not a batch in the wire format.
    #[error("{position}: not a batch: {source}")]
    MalformedBatch {
        /// The position of the line.
        position: InputPosition,
        /// The JSON error.
        source: serde_json::Error,
    },
    /// The contents of a batch are invalid.
    #[error("round {round}: {source}")]
    InvalidBatch {
        /// The round of the batch.
        round: u64,
        /// Why the batch is invalid.
        source: BatchError,
    },
    /// A reply cannot be encoded in JSON.
    #[error("round {round}: {source}")]
    UnencodableReply {
        /// The round of the reply.
        round: u64,
        /// The JSON error.
        source: serde_json::Error,
    },
    /// Writing the output failed.
    #[error("round {round}: cannot write the reply: {source}")]
    UnwritableOutput {
        /// The round of the reply.
        round: u64,
        /// The I/O error.
        source: io::Error,
    },
}

/// The reason why a batch is invalid.
#[derive(Debug, Error)]
pub enum BatchError {
    /// The batch's time is negative or not finite.
    #[error("tMs is {clock_ms}; a time of zero or more was expected")]
    InvalidClock {
        /// The time, in milliseconds.
        clock_ms: f64,
    },
    /// An event is invalid.
    #[error("instance {instance}: {source}")]
    InvalidEvent {
        /// The number of the instance that the event is for.
        instance: u32,
        /// Why the event is invalid.
        source: EventError,
    },
}

/// The reason why an event is invalid.
#[derive(Debug, Error)]
pub enum EventError {
    /// The event is for an instance that has not been started or has ended.
    #[error("an event came before ATTACH: {event}")]
    NotAttached {
        /// The name of the event on the wire.
        event: &'static str,
    },
    /// The settings in an ATTACH event are invalid.
    #[error(transparent)]
    InvalidSettings(#[from] SettingsError),
    /// A REGISTRY event that changes the endpoint list contains no list number.
    #[error("REGISTRY names no catalogue")]
    MissingListNumber,
    /// A REGISTRY event contains a list number that no CATALOG event has defined.
    #[error("REGISTRY names catalogue {list_number}, which no CATALOG has set up")]
    UnknownList {
        /// The unknown list number.
        list_number: u32,
    },
    /// A new request has the id of an earlier request that the adapter still keeps.
    #[error("REQUEST {request_id} came twice")]
    DuplicateRequest {
        /// The id of both requests.
        request_id: String,
    },
    /// A PROBED event refers to a server that has been in no endpoint list of the instance.
    #[error("PROBED names backend {server}, which no list has named")]
    UnknownServer {
        /// The name of the server.
        server: String,
    },
    /// The payload of a MAIL event is not hexadecimal or has an odd number of digits.
    #[error("MAIL holds {payload:?}; an even number of hex digits was expected")]
    InvalidPayload {
        /// The invalid payload.
        payload: String,
    },
}

/// The reason why an action cannot be encoded. Such an action is always caused by a bug in the decision code.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum ActionError {
    /// The action refers to a request that never arrived or that the adapter no longer keeps.
    #[error("an action for a request that is not open")]
    UnknownRequest,
    /// The action refers to a server that has been in no endpoint list of the instance.
    #[error("an action for server number {}, which no list has named", .0.0)]
    UnknownServer(ServerId),
}
