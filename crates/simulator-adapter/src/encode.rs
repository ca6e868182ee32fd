//! The encoding of actions in the wire format.

use crate::error::ActionError;
use crate::notice_text::format_notice;
use crate::wire::{WireAction, ALL_PEERS};
use crate::wire_identifiers::WireIdentifiers;
use balancer_core::{Action, PeerId, RequestId, ServerId, Span};
use std::rc::Rc;

/// Encodes an action of the balancer. An action that cannot be encoded is replaced with
/// [`WireAction::ReportBug`].
pub fn encode(action: Action, identifiers: &mut WireIdentifiers) -> WireAction {
    try_encode(action, identifiers).unwrap_or_else(|error| WireAction::ReportBug { text: error.to_string() })
}

fn try_encode(action: Action, identifiers: &mut WireIdentifiers) -> Result<WireAction, ActionError> {
    Ok(match action {
        Action::Send { request, server, timeout_at, .. } => WireAction::Send {
            server: encode_server(server, identifiers)?,
            request_id: encode_request_id(identifiers.requests.start_attempt(request))?,
            timeout_at_ms: timeout_at.as_millis_f64(),
        },
        Action::Cancel { request, attempt } => WireAction::Cancel {
            request_id: encode_request_id(identifiers.requests.wire_id(request))?,
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
            WireAction::CheckHealth { server: encode_server(server, identifiers)? }
        }
        Action::CloseIdle { server } => WireAction::CloseIdle { server: encode_server(server, identifiers)? },
        Action::Gossip { to, payload } => {
            WireAction::Gossip { receiver: encode_receiver(to), payload: hex::encode(payload) }
        }
        Action::WatchEndpoints => WireAction::WatchEndpoints { is_active: true },
        Action::Notify(notice) => WireAction::Log { text: format_notice(&notice) },
    })
}

/// Returns the name of a server.
fn encode_server(server: ServerId, identifiers: &WireIdentifiers) -> Result<String, ActionError> {
    let name = identifiers.servers.name(server).ok_or(ActionError::UnknownServer(server))?;
    Ok(name.to_string())
}

/// Records that the request has its final response, and returns the wire id of the request.
fn close_request(request: RequestId, identifiers: &mut WireIdentifiers) -> Result<String, ActionError> {
    encode_request_id(identifiers.requests.close(request))
}

/// Returns the wire id as a string, or an error if there is none because the request is unknown.
fn encode_request_id(wire_id: Option<&Rc<str>>) -> Result<String, ActionError> {
    wire_id.map(ToString::to_string).ok_or(ActionError::UnknownRequest)
}

/// Returns the number of the receiving instance, or [`ALL_PEERS`] if there is no single receiver.
fn encode_receiver(peer: Option<PeerId>) -> i64 {
    peer.map_or(ALL_PEERS, |peer| i64::from(peer.0))
}

#[cfg(test)]
mod tests;
