//! Ids of requests, servers and other things that events and actions refer to. The host assigns all ids
//! except those of attempts and timers.

/// Defines id types, which are newtypes of an integer.
macro_rules! id_types {
    ($($(#[$doc:meta])* $name:ident($inner:ty)),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
        pub struct $name(pub $inner);
    )*};
}

id_types! {
    /// The id of a request. An id is never used twice in the lifetime of a balancer.
    RequestId(u64),
    /// The id of a server. All balancers use the same id for a server, and the id stays the same for the
    /// lifetime of the machine.
    ServerId(u32),
    /// The id of a request class: the index in [`Settings::classes`](crate::Settings::classes).
    ClassId(usize),
    /// The id of a tenant: the index in [`Settings::tenants`](crate::Settings::tenants).
    TenantId(usize),
    /// The id of a zone in the endpoint list.
    ZoneId(u32),
    /// The id of a machine kind in the endpoint list.
    MachineKindId(u32),
    /// The id of a cell in the endpoint list. The servers of a cell share a record of the requests that they
    /// have run.
    CellId(u32),
    /// The key of the object that a request concerns. Requests for the same object carry the same key.
    RoutingKey(u64),
    /// The number of an attempt among those of its request: 0 for the first attempt, 1 for the second, and
    /// so on.
    AttemptNumber(u32),
    /// The id of another balancer of the same service.
    PeerId(u32),
}

/// The id of an attempt: its request, and its number among the attempts of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// The number of the attempt among those of the request.
    pub attempt: AttemptNumber,
}

/// A timer of the balancer, in [`Action::SetTimer`](crate::Action::SetTimer) and in
/// [`Event::TimerDue`](crate::Event::TimerDue).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TimerId {
    /// The timer of the periodic tick, in which the balancer handles overdue attempts and queued requests,
    /// among other things.
    Tick,
    /// The timeout of a load poll.
    LoadPollTimeout,
}

impl TimerId {
    /// All timers.
    const ALL: [TimerId; 2] = [TimerId::Tick, TimerId::LoadPollTimeout];

    /// Returns the number of the timer, for hosts that identify timers by numbers.
    pub fn number(self) -> u64 {
        match self {
            TimerId::Tick => 0,
            TimerId::LoadPollTimeout => 1,
        }
    }

    /// Returns the timer with this number, or `None` if there is no such timer.
    pub fn from_number(number: u64) -> Option<Self> {
        TimerId::ALL.into_iter().find(|timer| timer.number() == number)
    }
}
