//! What the end of an attempt shows about the load of its server.

use super::concurrency::{LATE_RATIO, TARGET_RATIO};
use super::fleet::ServerState;
use super::requests::{EndedAttempt, InFlightAttempt};
use crate::units::LatencyRatio;
use crate::{Outcome, Settings};

/// The latency ratio of an attempt that shows nothing about the load of its server.
pub const UNINFORMATIVE_RATIO: LatencyRatio = LatencyRatio::new(0.0);

/// Returns the latency ratio that is recorded for an ended attempt.
///
/// - A success has its actual ratio, but at most [`LATE_RATIO`]: all late responses count the same.
/// - A rejected attempt counts as late.
/// - An attempt that timed out or was cancelled counts as late, because it may still be queued at the server.
///   If the server responded quickly to other requests in the meantime, only the connection of the attempt
///   was lost, and the attempt shows nothing about the load (docs/findings/lost-answers.md).
/// - An error, a failed or broken connection, or an attempt that was never sent shows nothing about the load.
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
        Outcome::TimedOut | Outcome::Cancelled if is_connection_lost(server, attempt) => UNINFORMATIVE_RATIO,
        Outcome::TimedOut | Outcome::Rejected | Outcome::Cancelled => LATE_RATIO,
        Outcome::ServerError | Outcome::ConnectFailed | Outcome::ConnectionReset | Outcome::NotSent => {
            UNINFORMATIVE_RATIO
        }
    }
}

/// Returns whether an attempt without a response has probably lost its connection: the server has responded
/// to other attempts since this one was sent, and the smoothed latency ratio of the server is below the
/// target.
fn is_connection_lost(server: &ServerState, attempt: &InFlightAttempt) -> bool {
    server.health.has_responded_after(attempt.sent_at) && server.latency.ratio() < TARGET_RATIO
}
