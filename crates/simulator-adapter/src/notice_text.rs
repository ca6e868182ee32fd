//! The texts of the balancer's notices in the simulator's report.

use balancer_core::Notice;

/// Returns the text of a notice. The text refers to a server by its id, which each instance derives from the
/// name of the server.
pub fn format_notice(notice: &Notice) -> String {
    match notice {
        Notice::ServerEjected { server, reason, latency_ratio, fleet_median } => format!(
            "server {} ejected ({reason}): latency ratio {:.2} of a fleet median of {:.2}",
            server.0,
            latency_ratio.value(),
            fleet_median.value()
        ),
        // `Notice` is non-exhaustive: the balancer may add variants that have no text here.
        _ => format!("{notice:?}"),
    }
}

#[cfg(test)]
mod tests;
