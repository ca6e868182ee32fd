//! Settings for the sources of information on servers: load reports and the endpoint list.

/// The meaning of a value in a load report; see
/// [`Settings::load_report_fields`](crate::Settings::load_report_fields).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LoadReportField {
    /// The number of requests that the server holds.
    InFlight,
    /// The number of requests that wait in the server's queue.
    QueueLength,
    /// The fraction of the server's cores that is busy.
    Utilisation,
    /// The recent service time of the server in milliseconds, without queueing time.
    ServiceTime,
    /// The number of requests to which the server responds per second.
    RequestRate,
    /// The number of errors per second.
    ErrorRate,
    /// A value that the balancer does not use.
    Unknown,
}

/// How the balancer is notified of changes to the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum DiscoveryMode {
    /// Changes arrive without a request by the balancer.
    #[default]
    Pushed,
    /// Changes arrive only while a watch is open; see
    /// [`Action::WatchEndpoints`](crate::Action::WatchEndpoints).
    OnRequest,
}

/// Which responses carry load reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum LoadReportSource {
    /// No responses: servers send no load reports.
    #[default]
    None,
    /// Responses to attempts and to health checks.
    Responses,
    /// Responses to health checks only.
    HealthChecks,
}

/// The meaning of [`Endpoint::weight`](crate::Endpoint::weight).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum EndpointWeights {
    /// The weights have no meaning.
    #[default]
    Unspecified,
    /// The weight is the exact or approximate size of the machine.
    Size,
    /// The weight is the size of the machine divided by a past value of its load.
    SizeOverLoad,
}
