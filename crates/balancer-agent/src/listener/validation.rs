//! Validates a client's request and converts it (PROTOCOL page, "The application to its agent").

use super::invalid_request::InvalidRequest;
use super::time_limits::READ_TIMEOUT;
use crate::driver::Driver;
use crate::headers::forwarded_headers;
use crate::request::ClientRequest;
use crate::upstream::MAX_BODY;
use balancer_core::{ClassId, Effect, RoutingKey, Span, TenantId};
use balancer_settings::hash_name;
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::HeaderMap;
use hyper::http::request::Parts;
use hyper::Request;
use std::time::Duration;
use tokio::time::{timeout, Instant};

/// The header with a request's id.
pub const REQUEST_ID: &str = "x-request-id";
/// The header with a request's class.
const CLASS: &str = "x-priority-class";
/// The header with the tenant that sends a request.
const TENANT: &str = "x-tenant-id";
/// The header with the time that the client waits for the answer.
const TIMEOUT: &str = "x-timeout";
/// The header with a client's guess at a request's work, in microseconds.
const COST: &str = "x-cost";
/// The header that is `1` for a client's retry.
const CLIENT_RETRY: &str = "x-retried";
/// The header with a request's idempotency key.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// How the query parameter with the key of a request's object begins.
const ROUTING_KEY_PREFIX: &str = "key=";
/// The size limit of a request's id, in bytes.
const MAX_ID_BYTES: usize = 256;
/// The part of a client's timeout that is reserved for writing the answer, unless that is more than the
/// timeout divided by [`ANSWER_WRITE_DIVISOR`].
const ANSWER_WRITE_TIME: Duration = Duration::from_millis(6);
/// Bounds the part of a short timeout that is reserved for writing the answer: a quarter of it.
const ANSWER_WRITE_DIVISOR: u32 = 4;
/// The longest timeout that a request may have.
const MAX_TIMEOUT: Duration = Duration::from_secs(600);

/// Reads a request completely and validates it.
///
/// # Errors
///
/// The first fault that is found.
pub async fn read_request(
    request: Request<Incoming>,
    driver: &Driver,
) -> Result<ClientRequest, InvalidRequest> {
    let (head, body) = request.into_parts();
    let settings = driver.host_settings();
    let class = class_of(&head, &settings.class_names)?;
    check_request_id(&head)?;
    let tenant = tenant_of(&head, &settings.tenant_names)?;
    let client_timeout = timeout_of(&head)?;
    check_effect(driver.effect_of(class), &head)?;
    let body = read_body(body).await?;
    Ok(ClientRequest {
        class,
        tenant,
        routing_key: routing_key_of(&head),
        cost_hint: cost_hint_of(&head),
        is_client_retry: header_text(&head.headers, CLIENT_RETRY) == Some("1"),
        deadline: Instant::now() + time_for_answer(client_timeout),
        headers: forwarded_headers(&head.headers),
        method: head.method,
        uri: head.uri,
        body,
    })
}

/// The class, which both the path and a header name.
fn class_of(head: &Parts, class_names: &[String]) -> Result<ClassId, InvalidRequest> {
    let path = head.uri.path().trim_start_matches('/');
    let name = path.split('/').next().unwrap_or_default();
    let index = class_names.iter().position(|known| known == name).ok_or(InvalidRequest::UnknownClass)?;
    if header_text(&head.headers, CLASS) != Some(name) {
        return Err(InvalidRequest::ClassMismatch);
    }
    Ok(ClassId(index))
}

fn check_request_id(head: &Parts) -> Result<(), InvalidRequest> {
    let id = header_text(&head.headers, REQUEST_ID).unwrap_or_default();
    if id.is_empty() || id.len() > MAX_ID_BYTES {
        return Err(InvalidRequest::BadRequestId);
    }
    Ok(())
}

/// The tenant that a header names; `None` if the settings have no tenants.
fn tenant_of(head: &Parts, tenant_names: &[String]) -> Result<Option<TenantId>, InvalidRequest> {
    if tenant_names.is_empty() {
        return Ok(None);
    }
    let name = header_text(&head.headers, TENANT).ok_or(InvalidRequest::UnknownTenant)?;
    let index = tenant_names.iter().position(|known| known == name).ok_or(InvalidRequest::UnknownTenant)?;
    Ok(Some(TenantId(index)))
}

/// How long the client waits for the answer.
fn timeout_of(head: &Parts) -> Result<Duration, InvalidRequest> {
    let text = header_text(&head.headers, TIMEOUT);
    text.and_then(parse_timeout).ok_or(InvalidRequest::BadTimeout)
}

/// How long after a request its answer must be decided, so that it is written by the client's timeout.
fn time_for_answer(client_timeout: Duration) -> Duration {
    let write_time = ANSWER_WRITE_TIME.min(client_timeout / ANSWER_WRITE_DIVISOR);
    client_timeout.saturating_sub(write_time)
}

/// Checks the method and the idempotency key, which depend on the effect of a request's class.
fn check_effect(effect: Effect, head: &Parts) -> Result<(), InvalidRequest> {
    let allowed = if effect == Effect::Idempotent { "GET" } else { "POST" };
    if head.method != allowed {
        return Err(InvalidRequest::WrongMethod { allowed });
    }
    let has_key = head.headers.get(IDEMPOTENCY_KEY).is_some_and(|key| !key.is_empty());
    if matches!(effect, Effect::Deduplicated { .. }) && !has_key {
        return Err(InvalidRequest::MissingIdempotencyKey);
    }
    Ok(())
}

/// Reads a body completely, within [`READ_TIMEOUT`].
async fn read_body(body: Incoming) -> Result<Bytes, InvalidRequest> {
    if body.size_hint().lower() > MAX_BODY as u64 {
        return Err(InvalidRequest::BodyTooLarge);
    }
    match timeout(READ_TIMEOUT, Limited::new(body, MAX_BODY).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(InvalidRequest::BodyTooLarge),
        Ok(Err(_)) => Err(InvalidRequest::IncompleteBody),
        Err(_) => Err(InvalidRequest::BodyTimeout),
    }
}

/// The object that the request concerns, if its query names one.
fn routing_key_of(head: &Parts) -> Option<RoutingKey> {
    let query = head.uri.query()?;
    let key = query.split('&').find_map(|parameter| parameter.strip_prefix(ROUTING_KEY_PREFIX))?;
    Some(RoutingKey(hash_name(key)))
}

/// The client's guess at the request's work, if it is a positive number.
fn cost_hint_of(head: &Parts) -> Option<Span> {
    let text = header_text(&head.headers, COST)?;
    let micros = text.parse::<f64>().ok()?;
    if micros <= 0.0 || !micros.is_finite() {
        return None;
    }
    Some(Span::from_millis_f64(micros / 1e3))
}

/// A header's value, if it is text.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Parses a timeout such as `480m` (milliseconds) or `900u` (microseconds).
fn parse_timeout(text: &str) -> Option<Duration> {
    let unit_start = text.len().checked_sub(1)?;
    let (number, unit) = text.split_at_checked(unit_start)?;
    let micros_per_unit = match unit {
        "m" => 1000.0,
        "u" => 1.0,
        _ => return None,
    };
    let is_decimal = number.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    if number.is_empty() || !is_decimal {
        return None;
    }
    let seconds = number.parse::<f64>().ok()? * micros_per_unit / 1e6;
    let timeout = Duration::try_from_secs_f64(seconds).ok()?;
    if timeout.is_zero() || timeout > MAX_TIMEOUT {
        return None;
    }
    Some(timeout)
}

#[cfg(test)]
mod tests;
