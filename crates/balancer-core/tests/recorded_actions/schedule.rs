//! What is going to happen in a simulation, and when.

use super::servers::AttemptEnd;
use balancer_core::{EndpointUpdate, RequestId, ServerId, Time, TimerId};
use std::collections::BTreeMap;

/// Something that happens at a time set before.
pub enum ScheduledEvent {
    Arrival,
    Fault,
    /// The fleet, discovery and the clients are as usual again.
    Calm,
    Recovery(ServerId),
    Endpoints(EndpointUpdate),
    Timer(TimerId),
    AttemptEnd(AttemptEnd),
    HealthCheckEnd(ServerId),
    Disconnect(RequestId),
    FirstByte(RequestId),
    Gossip(Vec<u8>),
}

/// Events in the order of their times; those of one time in the order in which they were added.
#[derive(Default)]
pub struct Schedule {
    events: BTreeMap<(Time, u64), ScheduledEvent>,
    added_count: u64,
}

impl Schedule {
    pub fn add(&mut self, at: Time, event: ScheduledEvent) {
        self.added_count += 1;
        self.events.insert((at, self.added_count), event);
    }

    /// Takes the next event and its time.
    pub fn pop(&mut self) -> Option<(Time, ScheduledEvent)> {
        let ((at, _), event) = self.events.pop_first()?;
        Some((at, event))
    }
}
