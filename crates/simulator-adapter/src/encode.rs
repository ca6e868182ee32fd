//! Encoding: an action of the balancer becomes one of the wire.

use crate::error::ActionError;
use crate::instance_names::InstanceNames;
use crate::wire::{WireAction, ALL_PEERS};
use balancer_core::{Action, Notice, PeerId, RequestId, ServerId, Span};
use std::rc::Rc;

/// The action for the simulator. One that cannot be encoded becomes the report of a bug.
pub fn encode(action: Action, names: &mut InstanceNames) -> WireAction {
    try_encode(action, names).unwrap_or_else(|error| WireAction::ReportBug { text: error.to_string() })
}

fn try_encode(action: Action, names: &mut InstanceNames) -> Result<WireAction, ActionError> {
    Ok(match action {
        Action::Send { request, server, timeout_at, .. } => WireAction::Send {
            server: server_name(server, names)?,
            request_id: owned(names.requests.start_attempt(request))?,
            timeout_at_ms: timeout_at.as_millis_f64(),
        },
        Action::Cancel { request, attempt } => {
            WireAction::Cancel { request_id: owned(names.requests.wire_id(request))?, attempt: attempt.0 }
        }
        Action::Reject { request, retry_after } => WireAction::Reject {
            request_id: end_request(request, names)?,
            retry_after_ms: retry_after.map(Span::as_millis_f64),
        },
        Action::Fail { request } => WireAction::Fail { request_id: end_request(request, names)? },
        Action::SetTimer { at, timer } => {
            WireAction::SetTimer { at_ms: at.as_millis_f64(), timer: timer.number() }
        }
        Action::CheckHealth { server } => WireAction::CheckHealth { server: server_name(server, names)? },
        Action::CloseIdle { server } => WireAction::CloseIdle { server: server_name(server, names)? },
        Action::Gossip { to, payload } => {
            WireAction::Gossip { receiver: receiver(to), payload: hex::encode(payload) }
        }
        Action::WatchEndpoints => WireAction::WatchEndpoints { is_active: true },
        Action::Notify(notice) => WireAction::Log { text: describe(&notice) },
    })
}

fn describe(notice: &Notice) -> String {
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

fn server_name(server: ServerId, names: &InstanceNames) -> Result<String, ActionError> {
    let name = names.servers.name(server).ok_or(ActionError::UnknownServer(server))?;
    Ok(name.to_string())
}

fn end_request(request: RequestId, names: &mut InstanceNames) -> Result<String, ActionError> {
    owned(names.requests.end(request))
}

fn owned(wire_id: Option<&Rc<str>>) -> Result<String, ActionError> {
    wire_id.map(ToString::to_string).ok_or(ActionError::UnknownRequest)
}

fn receiver(peer: Option<PeerId>) -> i64 {
    peer.map_or(ALL_PEERS, |peer| i64::from(peer.0))
}

#[cfg(test)]
mod tests;
