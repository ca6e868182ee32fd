//! The texts of the balancer's notices in the log.

use super::endpoint_watch::RetainedServerNames;
use balancer_core::{Notice, ServerId};

/// Returns a log line for a notice, with the names of servers in place of their ids.
pub fn format_notice(notice: &Notice, names: &RetainedServerNames) -> String {
    match notice {
        Notice::ServerEjected { server, reason, latency_ratio, fleet_median } => format!(
            "server {} ejected ({reason}): latency is {:.2} times its objective, fleet median {:.2}",
            name_of(*server, names),
            latency_ratio.value(),
            fleet_median.value()
        ),
        // `Notice` is non-exhaustive: the balancer may add variants that have no text here.
        _ => format!("{notice:?}"),
    }
}

/// Returns the name of a server, or a text with its id if the name has been forgotten.
fn name_of(server: ServerId, names: &RetainedServerNames) -> String {
    names.name(server).map_or_else(|| format!("number {}", server.0), str::to_owned)
}

#[cfg(test)]
mod tests;
