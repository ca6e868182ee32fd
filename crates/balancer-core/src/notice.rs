//! Notices: what a balancer reports to the operators. The host turns them into text.

use crate::ids::ServerId;
use crate::units::LatencyRatio;
use std::fmt;

/// A notice for the operators.
#[derive(Debug, Clone, Copy, PartialEq)]
#[non_exhaustive]
pub enum Notice {
    /// A server was ejected. The balancer sends it only single probes, until a probe is served with an
    /// acceptable latency.
    ServerEjected {
        /// The ejected server.
        server: ServerId,
        /// Why the server was ejected.
        reason: EjectionReason,
        /// The smoothed latency of the server, as a latency ratio.
        latency_ratio: LatencyRatio,
        /// The median of the smoothed latency ratios of the serving servers.
        fleet_median: LatencyRatio,
    },
}

/// Why a server was ejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EjectionReason {
    /// The latency of the server is a multiple of the fleet's median latency.
    Slow,
    /// Attempts to the server fail.
    Failing,
    /// The server has not responded in any way since an overdue attempt was sent.
    Silent,
    /// The server failed a health check.
    FailedHealthCheck,
}

impl fmt::Display for EjectionReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            EjectionReason::Slow => "slow",
            EjectionReason::Failing => "failing",
            EjectionReason::Silent => "silent",
            EjectionReason::FailedHealthCheck => "failed health check",
        })
    }
}
