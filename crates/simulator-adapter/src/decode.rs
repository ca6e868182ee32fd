//! The decoding of events from the wire format.

use crate::endpoint_lists::EndpointLists;
use crate::error::EventError;
use crate::wire::{
    WireAttemptEnded, WireEndpointUpdate, WireEvent, WireGossip, WireHealthChecked, WireOutcome, WireRequest,
    WireUpdateForm, FLAG_CLIENT_RETRY, FLAG_VALID_COST_HINT,
};
use crate::wire_identifiers::WireIdentifiers;
use balancer_core::{
    AttemptNumber, ClassId, EndpointUpdate, Event, LoadReport, Outcome, PeerId, Request, RoutingKey, Span,
    TenantId, TimerId,
};
use balancer_settings::hash_name;

/// Decodes an event into an event of the balancer.
///
/// Returns `None` for an event that the balancer does not handle: an event of an unknown request, a timer
/// with an unknown number, or an event that the host handles itself.
///
/// # Errors
///
/// Returns an error if the event refers to an unknown endpoint list or server, if a new request has an id
/// that is still in use, or if the payload of a gossip message is invalid.
pub fn decode(
    event: WireEvent<'_>,
    identifiers: &mut WireIdentifiers,
    lists: &EndpointLists,
) -> Result<Option<Event>, EventError> {
    let event = match event {
        WireEvent::EndpointUpdate(update) => {
            Some(Event::Endpoints(decode_endpoint_update(&update, identifiers, lists)?))
        }
        WireEvent::Request(request) => Some(Event::Request(decode_request(&request, identifiers)?)),
        WireEvent::FirstByte(first_byte) => {
            let attempt = AttemptNumber(first_byte.attempt);
            let request = identifiers.requests.find(&first_byte.request_id);
            request.map(|request| Event::FirstByte { request, attempt })
        }
        WireEvent::AttemptEnded(ended) => decode_attempt_ended(ended, identifiers),
        WireEvent::ClientDisconnected { request_id } => {
            let request = identifiers.requests.disconnect(&request_id);
            request.map(|request| Event::ClientDisconnected { request })
        }
        WireEvent::TimerDue { timer } => TimerId::from_number(timer).map(Event::TimerDue),
        WireEvent::HealthChecked(checked) => Some(decode_health_checked(checked, identifiers)?),
        WireEvent::Gossip(gossip) => Some(decode_gossip(&gossip)?),
        // `Host` handles these events itself.
        WireEvent::Attach(_) | WireEvent::Retire {} | WireEvent::EndpointList(_) => None,
    };
    Ok(event)
}

fn decode_endpoint_update(
    update: &WireEndpointUpdate,
    identifiers: &mut WireIdentifiers,
    lists: &EndpointLists,
) -> Result<EndpointUpdate, EventError> {
    let to_core_update = match update.form {
        WireUpdateForm::Failed => return Ok(EndpointUpdate::Failed),
        WireUpdateForm::Changes => EndpointUpdate::Changes,
        WireUpdateForm::Complete => EndpointUpdate::Complete,
        WireUpdateForm::Cached => EndpointUpdate::Cached,
    };
    let list_number = update.list_number.ok_or(EventError::MissingListNumber)?;
    let list = lists.get(list_number).ok_or(EventError::UnknownList { list_number })?;
    let endpoints = list.iter().map(|listed| {
        let server = identifiers.servers.intern(&listed.name);
        listed.to_endpoint(server)
    });
    Ok(to_core_update(endpoints.collect()))
}

fn decode_request(
    request: &WireRequest<'_>,
    identifiers: &mut WireIdentifiers,
) -> Result<Request, EventError> {
    let duplicate_request = || EventError::DuplicateRequest { request_id: request.request_id.to_string() };
    let id = identifiers.requests.insert(&request.request_id).ok_or_else(duplicate_request)?;
    Ok(Request {
        id,
        class: ClassId(request.class),
        tenant: request.tenant.map(TenantId),
        routing_key: request.routing_key.as_deref().map(|key| RoutingKey(hash_name(key))),
        cost_hint: decode_cost_hint(request),
        is_client_retry: has_flag(request, FLAG_CLIENT_RETRY),
        time_left: Span::from_millis_f64(request.time_left_ms),
    })
}

/// Returns the cost hint, or `None` if the hint is not marked as valid or is not a positive number.
fn decode_cost_hint(request: &WireRequest<'_>) -> Option<Span> {
    if !has_flag(request, FLAG_VALID_COST_HINT) {
        return None;
    }
    request.cost_hint_ms.filter(|ms| ms.is_finite() && *ms > 0.0).map(Span::from_millis_f64)
}

fn has_flag(request: &WireRequest<'_>, flag: u64) -> bool {
    request.flags.unwrap_or(0) & flag != 0
}

fn decode_attempt_ended(ended: WireAttemptEnded<'_>, identifiers: &mut WireIdentifiers) -> Option<Event> {
    let request = identifiers.requests.end_attempt(&ended.request_id, ended.is_request_finished)?;
    Some(Event::AttemptEnded {
        request,
        attempt: AttemptNumber(ended.attempt),
        outcome: Outcome::from(ended.outcome),
        elapsed: Span::from_millis_f64(ended.elapsed_ms),
        load_report: ended.load_report.map(LoadReport::new),
        is_request_finished: ended.is_request_finished,
    })
}

fn decode_health_checked(
    checked: WireHealthChecked<'_>,
    identifiers: &WireIdentifiers,
) -> Result<Event, EventError> {
    let unknown_server = || EventError::UnknownServer { server: checked.server.to_string() };
    let server = identifiers.servers.find(&checked.server).ok_or_else(unknown_server)?;
    Ok(Event::HealthChecked {
        server,
        outcome: Outcome::from(checked.outcome),
        elapsed: Span::from_millis_f64(checked.elapsed_ms),
        load_report: checked.load_report.map(LoadReport::new),
    })
}

fn decode_gossip(gossip: &WireGossip<'_>) -> Result<Event, EventError> {
    let payload = hex::decode(gossip.payload.as_bytes())
        .map_err(|_| EventError::InvalidPayload { payload: gossip.payload.to_string() })?;
    Ok(Event::Gossip { from: PeerId(gossip.sender), payload })
}

impl From<WireOutcome> for Outcome {
    fn from(wire: WireOutcome) -> Self {
        match wire {
            WireOutcome::Success => Outcome::Success,
            WireOutcome::ServerError => Outcome::ServerError,
            WireOutcome::Rejected => Outcome::Rejected,
            WireOutcome::TimedOut => Outcome::TimedOut,
            WireOutcome::ConnectFailed => Outcome::ConnectFailed,
            WireOutcome::ConnectionReset => Outcome::ConnectionReset,
            WireOutcome::Cancelled => Outcome::Cancelled,
            WireOutcome::NotSent => Outcome::NotSent,
        }
    }
}

#[cfg(test)]
mod tests;
