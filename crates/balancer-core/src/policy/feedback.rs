//! What the end of an attempt shows of the load of its server.

use super::concurrency::{LATE_RATIO, TARGET_RATIO};
use super::fleet::ServerState;
use super::requests::{EndedAttempt, InFlightAttempt};
use crate::units::LatencyRatio;
use crate::{Outcome, Settings};

/// The latency ratio of an attempt that does not show load.
pub const NO_LOAD: LatencyRatio = LatencyRatio::new(0.0);

/// The latency of an ended attempt as a share of its class's objective, late answers all counted alike.
///
/// An attempt that was lost while its server answered others in time shows no load: its connection was lost
/// (docs/findings/lost-answers.md). An attempt that was cancelled may still be queued at the server and
/// counts as late.
pub fn observed_ratio(
    settings: &Settings,
    server: &ServerState,
    attempt: &InFlightAttempt,
    ended: &EndedAttempt,
) -> LatencyRatio {
    match ended.outcome {
        Outcome::Success => {
            let objective = settings.class(attempt.class).latency_objective;
            let ratio = ended.elapsed.as_millis_f64() / objective.as_millis_f64();
            LatencyRatio::new(ratio.min(LATE_RATIO.value()))
        }
        Outcome::TimedOut | Outcome::Cancelled if is_lost(server, attempt) => NO_LOAD,
        Outcome::TimedOut | Outcome::Rejected | Outcome::Cancelled => LATE_RATIO,
        Outcome::ServerError | Outcome::ConnectFailed | Outcome::ConnectionReset | Outcome::NotSent => {
            NO_LOAD
        }
    }
}

/// Whether the server has responded to others since the attempt was sent, and does so quickly.
fn is_lost(server: &ServerState, attempt: &InFlightAttempt) -> bool {
    server.health.has_responded_after(attempt.sent_at) && server.latency.ratio() < TARGET_RATIO
}
