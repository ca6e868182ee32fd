//! The schedule of a simulation: its future events in the order of their times.

use balancer_core::{AttemptNumber, EndpointUpdate, Outcome, RequestId, ServerId, Time, TimerId};
use std::collections::BTreeMap;

/// An event that will happen in a simulation.
pub enum ScheduledEvent {
    /// A client sends the next request.
    Arrival,
    /// A random fault is injected.
    Fault,
    /// All faults end, except those of single servers.
    GlobalFaultEnd,
    /// The fault of a server ends, and the server serves again.
    Recovery(ServerId),
    /// An update of the endpoint list arrives at the balancer.
    Endpoints(EndpointUpdate),
    /// A timer of the balancer is due.
    Timer(TimerId),
    /// An attempt ends.
    AttemptEnd(AttemptEnd),
    /// A health check ends.
    HealthCheckEnd(ServerId),
    /// The client of a request disconnects.
    Disconnect(RequestId),
    /// The response to a request begins to stream.
    FirstByte(RequestId),
    /// A gossip message arrives at the balancer.
    Gossip(Vec<u8>),
}

/// The end of an attempt at a server.
pub struct AttemptEnd {
    /// The request.
    pub request: RequestId,
    /// The number of the attempt.
    pub attempt: AttemptNumber,
    /// The server that the attempt was sent to.
    pub server: ServerId,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// When the attempt was sent.
    pub sent_at: Time,
}

/// An event and the time at which it is due.
pub struct DueEvent {
    /// The time at which the event is due.
    pub at: Time,
    /// The event.
    pub event: ScheduledEvent,
}

/// Events in the order of their times. Events of the same time are in the order in which they were added.
#[derive(Default)]
pub struct Schedule {
    /// The events, by their times and by the value of `added_count` when they were added.
    events: BTreeMap<(Time, u64), ScheduledEvent>,
    /// The number of events that have been added.
    added_count: u64,
}

impl Schedule {
    /// Adds an event.
    pub fn add(&mut self, at: Time, event: ScheduledEvent) {
        self.added_count += 1;
        self.events.insert((at, self.added_count), event);
    }

    /// Removes the next event and returns it, or returns `None` if the schedule is empty.
    pub fn pop(&mut self) -> Option<DueEvent> {
        let ((at, _), event) = self.events.pop_first()?;
        Some(DueEvent { at, event })
    }
}
