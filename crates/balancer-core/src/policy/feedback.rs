//! What the end of an attempt shows about the load of its server.

use super::concurrency::{LATE_RATIO, TARGET_RATIO};
use super::fleet::{FleetView, ServerState};
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
/// - In a sparse view, an attempt that timed out within the target shows nothing about the load: its client
///   gave it too little time. In a dense view such an attempt counts as late, but only lowers the limit of
///   its server.
/// - An error, a failed or broken connection, or an attempt that was never sent shows nothing about the load.
pub fn observed_ratio(
    settings: &Settings,
    server: &ServerState,
    attempt: &InFlightAttempt,
    ended: &EndedAttempt,
    view: FleetView,
) -> LatencyRatio {
    let objective = settings.class(attempt.class).latency_objective;
    let elapsed_ratio = LatencyRatio::new(ended.elapsed.as_millis_f64() / objective.as_millis_f64());
    match ended.outcome {
        Outcome::Success if elapsed_ratio > LATE_RATIO => LATE_RATIO,
        Outcome::Success => elapsed_ratio,
        Outcome::TimedOut if view == FleetView::Sparse && elapsed_ratio <= TARGET_RATIO => {
            UNINFORMATIVE_RATIO
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

#[cfg(test)]
mod tests;
