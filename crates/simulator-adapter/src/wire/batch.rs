//! The wire format of the lines of input and output.

use super::action::WireAction;
use super::event::WireEvent;
use serde::{Deserialize, Serialize};

/// A line of input: the events that happened since the previous batch.
#[derive(Debug, Deserialize)]
pub struct Batch<'a> {
    /// The simulated time of the events, in milliseconds.
    #[serde(rename = "tMs")]
    pub clock_ms: f64,
    /// The number of the batch.
    pub round: u64,
    /// The events of each instance that has any.
    #[serde(borrow, rename = "parts")]
    pub instances: Vec<InstanceEvents<'a>>,
}

/// The events of one instance in a batch.
#[derive(Debug, Deserialize)]
pub struct InstanceEvents<'a> {
    /// The number of the instance.
    #[serde(rename = "who")]
    pub instance: u32,
    /// The events, in the order in which they are handled.
    #[serde(borrow, rename = "inbox")]
    pub events: Vec<WireEvent<'a>>,
}

/// A line of output: the reply to a batch.
#[derive(Debug, Serialize)]
pub struct Reply {
    /// The number of the batch that the reply is for.
    pub round: u64,
    /// The actions of each instance that has any.
    #[serde(rename = "parts")]
    pub instances: Vec<InstanceActions>,
}

/// The actions of one instance in a reply.
#[derive(Debug, Serialize)]
pub struct InstanceActions {
    /// The number of the instance.
    #[serde(rename = "who")]
    pub instance: u32,
    /// The actions, in the order in which the balancer returned them.
    #[serde(rename = "outbox")]
    pub actions: Vec<WireAction>,
}
