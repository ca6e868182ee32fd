//! Words the balancer's notices for the simulator's report.

use balancer_core::Notice;

/// The text of a notice. Servers are named by their numbers, which are the same in every instance.
pub fn notice_text(notice: &Notice) -> String {
    match notice {
        Notice::ServerEjected { server, reason, latency_ratio, fleet_median } => format!(
            "server {} ejected ({reason}): latency ratio {:.2} of a fleet median of {:.2}",
            server.0,
            latency_ratio.value(),
            fleet_median.value()
        ),
        _ => format!("{notice:?}"),
    }
}

#[cfg(test)]
mod tests;
