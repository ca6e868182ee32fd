//! Ids of what events and actions refer to. The caller chooses all of them but those of attempts and timers.

macro_rules! id_types {
    ($($(#[$doc:meta])* $name:ident($inner:ty)),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
        pub struct $name(pub $inner);
    )*};
}

id_types! {
    /// A request; never used twice in the life of a balancer.
    RequestId(u64),
    /// A server; the same while the machine is, and the same at every balancer.
    ServerId(u32),
    /// A request class: its index in [`Settings::classes`](crate::Settings::classes).
    ClassId(usize),
    /// A tenant: its index in [`Settings::tenants`](crate::Settings::tenants).
    TenantId(usize),
    /// A zone, as the endpoint list numbers them.
    ZoneId(u32),
    /// A kind of machine, as the endpoint list numbers them.
    MachineKindId(u32),
    /// A cell (servers that share a record of the requests they have run), as the endpoint list numbers them.
    CellId(u32),
    /// The object that a request concerns; requests for the same object carry the same key.
    RoutingKey(u64),
    /// An attempt of a request: 0 for its first send, 1 for its second and so on.
    AttemptNumber(u32),
    /// Another balancer of the same service.
    PeerId(u32),
}

/// A timer of the balancer: what it asks to be woken for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TimerId {
    /// The periodic tick, which handles overdue attempts and queued requests.
    Tick,
    /// The end of the wait for polled loads.
    LoadPollTimeout,
}

impl TimerId {
    /// All timers, in the order of their numbers.
    const ALL: [TimerId; 2] = [TimerId::Tick, TimerId::LoadPollTimeout];

    /// The number of the timer, for callers whose timers are numbered.
    pub fn number(self) -> u64 {
        match self {
            TimerId::Tick => 0,
            TimerId::LoadPollTimeout => 1,
        }
    }

    /// The timer with this number; `None` if there is no such timer.
    pub fn from_number(number: u64) -> Option<Self> {
        TimerId::ALL.into_iter().find(|timer| timer.number() == number)
    }
}
