//! The simulator's wire format: types for the messages in JSON. This module only defines the types; it does
//! not handle the messages.
//!
//! Types and fields have the names that `balancer_core` uses. Serde attributes map these names to the names
//! on the wire.

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
