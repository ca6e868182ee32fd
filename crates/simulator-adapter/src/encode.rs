//! Encodes the balancer's actions for the wire.

use crate::error::ActionError;
use crate::notice_text::notice_text;
use crate::wire::{WireAction, ALL_PEERS};
use crate::wire_identifiers::WireIdentifiers;
use balancer_core::{Action, PeerId, RequestId, ServerId, Span};
use std::rc::Rc;

/// Encodes an action. One that cannot be encoded becomes [`WireAction::ReportBug`].
pub fn encode(action: Action, identifiers: &mut WireIdentifiers) -> WireAction {
    try_encode(action, identifiers).unwrap_or_else(|error| WireAction::ReportBug { text: error.to_string() })
}

fn try_encode(action: Action, identifiers: &mut WireIdentifiers) -> Result<WireAction, ActionError> {
    Ok(match action {
        Action::Send { request, server, timeout_at, .. } => WireAction::Send {
            server: server_name(server, identifiers)?,
            request_id: request_id(identifiers.requests.start_attempt(request))?,
            timeout_at_ms: timeout_at.as_millis_f64(),
        },
        Action::Cancel { request, attempt } => WireAction::Cancel {
            request_id: request_id(identifiers.requests.wire_id(request))?,
            attempt: attempt.0,
        },
        Action::Reject { request, retry_after } => WireAction::Reject {
            request_id: close_request(request, identifiers)?,
            retry_after_ms: retry_after.map(Span::as_millis_f64),
        },
        Action::Fail { request } => WireAction::Fail { request_id: close_request(request, identifiers)? },
        Action::SetTimer { at, timer } => {
            WireAction::SetTimer { at_ms: at.as_millis_f64(), timer: timer.number() }
        }
        Action::CheckHealth { server } => {
            WireAction::CheckHealth { server: server_name(server, identifiers)? }
        }
        Action::CloseIdle { server } => WireAction::CloseIdle { server: server_name(server, identifiers)? },
        Action::Gossip { to, payload } => {
            WireAction::Gossip { receiver: receiver(to), payload: hex::encode(payload) }
        }
        Action::WatchEndpoints => WireAction::WatchEndpoints { is_active: true },
        Action::Notify(notice) => WireAction::Log { text: notice_text(&notice) },
    })
}

fn server_name(server: ServerId, identifiers: &WireIdentifiers) -> Result<String, ActionError> {
    let name = identifiers.servers.name(server).ok_or(ActionError::UnknownServer(server))?;
    Ok(name.to_string())
}

/// Records that the request has its final answer, and returns its id on the wire.
fn close_request(request: RequestId, identifiers: &mut WireIdentifiers) -> Result<String, ActionError> {
    request_id(identifiers.requests.close(request))
}

fn request_id(wire_id: Option<&Rc<str>>) -> Result<String, ActionError> {
    wire_id.map(ToString::to_string).ok_or(ActionError::UnknownRequest)
}

fn receiver(peer: Option<PeerId>) -> i64 {
    peer.map_or(ALL_PEERS, |peer| i64::from(peer.0))
}

#[cfg(test)]
mod tests;
