//! The log lines for the balancer's notices to the operators.

use super::endpoint_watch::RetainedServerNames;
use balancer_core::{Notice, ServerId};

/// One line for a notice, with the names of servers in place of their numbers.
pub fn notice_text(notice: &Notice, names: &RetainedServerNames) -> String {
    match notice {
        Notice::ServerEjected { server, reason, latency_ratio, fleet_median } => format!(
            "server {} ejected ({reason}): latency is {:.2} times its objective, fleet median {:.2}",
            name_of(*server, names),
            latency_ratio.value(),
            fleet_median.value()
        ),
        // The enum may get more variants than this agent knows.
        _ => format!("{notice:?}"),
    }
}

/// A server's name, or its number if its name has been forgotten.
fn name_of(server: ServerId, names: &RetainedServerNames) -> String {
    names.name(server).map_or_else(|| format!("number {}", server.0), str::to_owned)
}

#[cfg(test)]
mod tests;
