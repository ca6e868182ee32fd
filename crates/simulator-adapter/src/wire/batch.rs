//! Lines of input and of output.

use super::action::WireAction;
use super::event::WireEvent;
use serde::{Deserialize, Serialize};

/// A line of input: what has happened to some of the instances by the time of the clock.
#[derive(Debug, Deserialize)]
pub struct Batch<'a> {
    /// The time of the clock.
    #[serde(rename = "tMs")]
    pub clock_ms: f64,
    /// The batch's number.
    pub round: u64,
    /// What has happened to each instance.
    #[serde(borrow)]
    pub parts: Vec<BatchPart<'a>>,
}

/// The events of one instance.
#[derive(Debug, Deserialize)]
pub struct BatchPart<'a> {
    /// The instance's number.
    #[serde(rename = "who")]
    pub instance: u32,
    /// Its events, in their order.
    #[serde(borrow, rename = "inbox")]
    pub events: Vec<WireEvent<'a>>,
}

/// A line of output: the answer to a batch.
#[derive(Debug, Serialize)]
pub struct Reply {
    /// The batch's number.
    pub round: u64,
    /// The actions of each instance; those that do nothing are left out.
    pub parts: Vec<ReplyPart>,
}

/// The actions of one instance.
#[derive(Debug, Serialize)]
pub struct ReplyPart {
    /// The instance's number.
    #[serde(rename = "who")]
    pub instance: u32,
    /// Its actions, in their order.
    #[serde(rename = "outbox")]
    pub actions: Vec<WireAction>,
}
