//! The future events of a simulation.

use balancer_core::{AttemptNumber, EndpointUpdate, Outcome, RequestId, ServerId, Time, TimerId};
use std::collections::BTreeMap;

/// Something that will happen in a simulation.
pub enum ScheduledEvent {
    Arrival,
    Fault,
    /// The end of all faults but those of single servers.
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

/// The end of an attempt at a server.
pub struct AttemptEnd {
    pub request: RequestId,
    pub attempt: AttemptNumber,
    pub server: ServerId,
    pub outcome: Outcome,
    pub sent_at: Time,
}

/// An event that was due next.
pub struct DueEvent {
    pub at: Time,
    pub event: ScheduledEvent,
}

/// Events in the order of their times; events of the same time in the order in which they were added.
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

    /// Removes the next event.
    pub fn pop(&mut self) -> Option<DueEvent> {
        let ((at, _), event) = self.events.pop_first()?;
        Some(DueEvent { at, event })
    }
}
