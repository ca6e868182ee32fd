//! The simulator's messages: what its lines hold, and nothing of what to do about them.
//!
//! Types and fields have the names that `balancer_core` uses; serde attributes give those of the wire.

mod action;
mod batch;
mod event;

pub use action::{WireAction, ALL_PEERS};
pub use batch::{Batch, Reply, ReplyPart};
pub use event::{
    WireAttach, WireAttemptEnded, WireEndpoint, WireEndpointList, WireEndpointStatus, WireEndpointUpdate,
    WireEvent, WireGossip, WireHealthChecked, WireOutcome, WireRequest, WireUpdateForm, FLAG_CLIENT_RETRY,
    FLAG_VALID_COST_HINT,
};
