//! What a balancer reports to the operators, as typed notices. The caller words them.

use crate::ids::ServerId;
use crate::units::LatencyRatio;
use std::fmt;

/// Something that the operators should know of.
#[derive(Debug, Clone, Copy, PartialEq)]
#[non_exhaustive]
pub enum Notice {
    /// A server was ejected: it gets no requests but single probes until one of them is answered well.
    ServerEjected {
        /// The server.
        server: ServerId,
        /// Why.
        reason: EjectionReason,
        /// Its smoothed latency.
        latency_ratio: LatencyRatio,
        /// The median of the smoothed latencies of the serving servers.
        fleet_median: LatencyRatio,
    },
}

/// Why a server is ejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EjectionReason {
    /// Its latency is a multiple of the fleet's median.
    Slow,
    /// Its attempts fail.
    Failing,
    /// It has not responded in any way since an overdue attempt was sent.
    Silent,
    /// It failed a health check.
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
