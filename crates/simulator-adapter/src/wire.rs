//! The simulator's wire format: the types of its messages, without any handling of them.
//!
//! Types and fields have the names that `balancer_core` uses; serde attributes map them to the wire's names.

mod action;
mod batch;
mod event;

pub use action::{WireAction, ALL_PEERS};
pub use batch::{Batch, InstanceActions, InstanceEvents, Reply};
pub use event::{
    WireAttach, WireAttemptEnded, WireEndpoint, WireEndpointList, WireEndpointStatus, WireEndpointUpdate,
    WireEvent, WireGossip, WireHealthChecked, WireOutcome, WireRequest, WireUpdateForm, FLAG_CLIENT_RETRY,
    FLAG_VALID_COST_HINT,
};
