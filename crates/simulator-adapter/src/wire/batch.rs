//! Wire format of the lines of input and output.

use super::action::WireAction;
use super::event::WireEvent;
use serde::{Deserialize, Serialize};

/// A line of input: the events of some instances since the batch before it.
#[derive(Debug, Deserialize)]
pub struct Batch<'a> {
    /// The simulator's time, in milliseconds.
    #[serde(rename = "tMs")]
    pub clock_ms: f64,
    /// The batch's number.
    pub round: u64,
    /// The instances that have events.
    #[serde(borrow, rename = "parts")]
    pub instances: Vec<InstanceEvents<'a>>,
}

/// The events of one instance.
#[derive(Debug, Deserialize)]
pub struct InstanceEvents<'a> {
    /// The instance's number.
    #[serde(rename = "who")]
    pub instance: u32,
    /// Its events, in their order.
    #[serde(borrow, rename = "inbox")]
    pub events: Vec<WireEvent<'a>>,
}

/// A line of output: the reply to a batch.
#[derive(Debug, Serialize)]
pub struct Reply {
    /// The batch's number.
    pub round: u64,
    /// The instances that have actions.
    #[serde(rename = "parts")]
    pub instances: Vec<InstanceActions>,
}

/// The actions of one instance.
#[derive(Debug, Serialize)]
pub struct InstanceActions {
    /// The instance's number.
    #[serde(rename = "who")]
    pub instance: u32,
    /// Its actions, in their order.
    #[serde(rename = "outbox")]
    pub actions: Vec<WireAction>,
}
