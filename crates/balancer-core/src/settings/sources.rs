//! Where the balancer's knowledge of the servers comes from.

/// A value of a server's load report, in the order that
/// [`Settings::load_report_fields`](crate::Settings::load_report_fields) gives.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LoadReportField {
    /// Requests that the server holds.
    InFlight,
    /// Requests that wait in the server.
    QueueLength,
    /// The busy share of its cores.
    Utilisation,
    /// Its recent service time in milliseconds, without waiting.
    ServiceTime,
    /// Requests it answers a second.
    RequestRate,
    /// Errors a second.
    ErrorRate,
    /// A value that balancers have no use for.
    Unknown,
}

/// How the balancer learns of changes to the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum DiscoveryMode {
    /// Changes come by themselves.
    #[default]
    Pushed,
    /// Changes come only while a watch is open; see
    /// [`Action::WatchEndpoints`](crate::Action::WatchEndpoints).
    OnRequest,
}

/// Where load reports come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum LoadReportSource {
    /// There are none.
    #[default]
    None,
    /// With the answers to attempts and health checks.
    Responses,
    /// With the answers to health checks only.
    HealthChecks,
}

/// The meaning of [`Endpoint::weight`](crate::Endpoint::weight).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum EndpointWeights {
    /// Weights say nothing.
    #[default]
    Unspecified,
    /// The size of the machine, exactly or roughly.
    Size,
    /// The size divided by the load of a while ago.
    SizeOverLoad,
}
