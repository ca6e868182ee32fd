//! The validation of a client's request, and its conversion to a [`ClientRequest`] (PROTOCOL page, "The
//! application to its agent").

use super::invalid_request::InvalidRequest;
use super::time_limits::READ_TIMEOUT;
use crate::body::{collect_body, BodyError, BodySize};
use crate::driver::Driver;
use crate::framing::ConnectionState;
use crate::headers::{forwarded_headers, header_text, REQUEST_ID_HEADER};
use crate::memory::{MemoryBudget, Purpose};
use crate::request::ClientRequest;
use crate::upstream::MAX_BODY_BYTES;
use balancer_core::{ClassId, Effect, RoutingKey, Span, TenantId};
use balancer_settings::hash_name;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::http::request::Parts;
use hyper::Request;
use std::time::Duration;
use tokio::time::timeout;

/// The header with the name of a request's class.
const CLASS_HEADER: &str = "x-priority-class";
/// The header with the name of the tenant that sends a request.
const TENANT_HEADER: &str = "x-tenant-id";
/// The header with a request's timeout: how long the client waits for the response.
const TIMEOUT_HEADER: &str = "x-timeout";
/// The header with the client's estimate of a request's work, in microseconds.
const COST_HEADER: &str = "x-cost";
/// The header whose value is `1` if the request is a client's retry.
const CLIENT_RETRY_HEADER: &str = "x-retried";
/// The header with a request's idempotency key.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// The prefix of the query parameter with a request's routing key.
const ROUTING_KEY_PREFIX: &str = "key=";
/// The maximum length of a request's id, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 256;
/// The time that is reserved for writing the response, at the end of a client's timeout. Less time is
/// reserved if the timeout is short; see [`RESPONSE_WRITE_DIVISOR`].
const RESPONSE_WRITE_TIME: Duration = Duration::from_millis(6);
/// The timeout divided by this number is the maximum time that is reserved for writing the response.
const RESPONSE_WRITE_DIVISOR: u32 = 4;
/// The memory that a request takes in addition to its head and body, in bytes: its state in the handler, the
/// driver and the balancer.
const REQUEST_OVERHEAD_BYTES: usize = 3 << 10;
/// The number of copies of a request's head: as received, as forwarded, and as it is written to a server.
const HEAD_COPIES: usize = 3;
/// The memory that a header field takes in addition to its name and value, in bytes.
const FIELD_BYTES: usize = 112;
/// The maximum timeout of a request.
const MAX_TIMEOUT: Duration = Duration::from_secs(600);

/// Reads a client's request completely from its connection and validates it.
///
/// # Errors
///
/// Returns the first reason why the request is invalid.
pub async fn read_request(
    request: Request<Incoming>,
    connection: &ConnectionState,
    driver: &Driver,
    memory: &MemoryBudget,
) -> Result<ClientRequest, InvalidRequest> {
    let (head, mut body) = request.into_parts();
    let settings = driver.host_settings();
    let class = class_of(&head, &settings.class_names)?;
    check_request_id(&head)?;
    let tenant = tenant_of(&head, &settings.tenant_names)?;
    let client_timeout = timeout_of(&head)?;
    check_effect(driver.effect_of(class), &head)?;
    let body_size = body_size(&body)?;
    let overhead = REQUEST_OVERHEAD_BYTES + head_memory(&head);
    let reserve = |body_bytes: usize| memory.try_reserve(Purpose::Request, overhead + body_bytes);
    let Some(mut memory) = reserve(body_size.expected) else {
        discard_body(&mut body).await;
        return Err(InvalidRequest::NoCapacity);
    };
    let reserve_max = async || reserve(body_size.max).map(|longer| memory = longer).is_some();
    let body = read_body(&mut body, body_size, reserve_max).await?;
    memory.shrink_to(overhead + body.len());
    Ok(ClientRequest {
        class,
        tenant,
        routing_key: routing_key_of(&head),
        cost_hint: cost_hint_of(&head),
        is_client_retry: header_text(&head.headers, CLIENT_RETRY_HEADER) == Some("1"),
        deadline: connection.request_received_at() + time_for_response(client_timeout),
        headers: forwarded_headers(&head.headers),
        method: head.method,
        uri: head.uri,
        body: memory.into_bytes(body),
        id_claim: None,
    })
}

/// Returns the request's class. The path and the class header must name the same class.
fn class_of(head: &Parts, class_names: &[String]) -> Result<ClassId, InvalidRequest> {
    let path = head.uri.path().trim_start_matches('/');
    let name = path.split('/').next().unwrap_or_default();
    let index = class_names.iter().position(|known| known == name).ok_or(InvalidRequest::UnknownClass)?;
    if header_text(&head.headers, CLASS_HEADER) != Some(name) {
        return Err(InvalidRequest::ClassMismatch);
    }
    Ok(ClassId(index))
}

/// Checks that the request has an id of a valid length.
fn check_request_id(head: &Parts) -> Result<(), InvalidRequest> {
    let id = header_text(&head.headers, REQUEST_ID_HEADER).unwrap_or_default();
    if id.is_empty() || id.len() > MAX_REQUEST_ID_BYTES {
        return Err(InvalidRequest::BadRequestId);
    }
    Ok(())
}

/// Returns the tenant that the tenant header names, or `None` if the settings have no tenants.
fn tenant_of(head: &Parts, tenant_names: &[String]) -> Result<Option<TenantId>, InvalidRequest> {
    if tenant_names.is_empty() {
        return Ok(None);
    }
    let name = header_text(&head.headers, TENANT_HEADER).ok_or(InvalidRequest::UnknownTenant)?;
    let index = tenant_names.iter().position(|known| known == name).ok_or(InvalidRequest::UnknownTenant)?;
    Ok(Some(TenantId(index)))
}

/// Returns the request's timeout.
fn timeout_of(head: &Parts) -> Result<Duration, InvalidRequest> {
    let text = header_text(&head.headers, TIMEOUT_HEADER);
    text.and_then(parse_timeout).ok_or(InvalidRequest::BadTimeout)
}

/// Returns how long after the receipt of a request its final response must be known, so that the response is
/// written within the client's timeout.
fn time_for_response(client_timeout: Duration) -> Duration {
    let write_time = RESPONSE_WRITE_TIME.min(client_timeout / RESPONSE_WRITE_DIVISOR);
    client_timeout.saturating_sub(write_time)
}

/// Checks that the request has the method that the effect of its class requires, and an idempotency key if
/// the effect requires one.
fn check_effect(effect: Effect, head: &Parts) -> Result<(), InvalidRequest> {
    let allowed = if effect == Effect::Idempotent { "GET" } else { "POST" };
    if head.method != allowed {
        return Err(InvalidRequest::WrongMethod { allowed });
    }
    let has_key = head.headers.get(IDEMPOTENCY_KEY_HEADER).is_some_and(|key| !key.is_empty());
    if matches!(effect, Effect::Deduplicated { .. }) && !has_key {
        return Err(InvalidRequest::MissingIdempotencyKey);
    }
    Ok(())
}

/// Returns the memory that the head of a request takes until the request has ended, in bytes.
fn head_memory(head: &Parts) -> usize {
    let fields = head.headers.iter();
    let fields: usize = fields.map(|(name, value)| name.as_str().len() + value.len() + FIELD_BYTES).sum();
    HEAD_COPIES * fields
}

/// Returns the size of a request's body.
fn body_size(body: &Incoming) -> Result<BodySize, InvalidRequest> {
    if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return Err(InvalidRequest::BodyTooLarge);
    }
    Ok(BodySize::of(body, MAX_BODY_BYTES))
}

/// Reads a request's body completely, within [`READ_TIMEOUT`]. A body for which there is no memory is read to
/// its end, and not kept.
async fn read_body(
    body: &mut Incoming,
    size: BodySize,
    reserve_max: impl AsyncFnOnce() -> bool,
) -> Result<Vec<u8>, InvalidRequest> {
    match timeout(READ_TIMEOUT, collect_body(&mut *body, size, || (), reserve_max)).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(BodyError::TooLong)) => Err(InvalidRequest::BodyTooLarge),
        Ok(Err(BodyError::Incomplete)) => Err(InvalidRequest::IncompleteBody),
        Ok(Err(BodyError::OutOfMemory)) => {
            discard_body(body).await;
            Err(InvalidRequest::NoCapacity)
        }
        Err(_) => Err(InvalidRequest::RequestTimeout),
    }
}

/// Reads a request's body to its end without keeping it, within [`READ_TIMEOUT`]. A client that is still
/// sending could lose a response that comes before the end of its request.
async fn discard_body(body: &mut Incoming) {
    let mut body = Limited::new(body, MAX_BODY_BYTES);
    let all_frames = async { while let Some(Ok(_)) = body.frame().await {} };
    // The response is the same whether or not the end has come in time.
    let _ = timeout(READ_TIMEOUT, all_frames).await;
}

/// Returns the request's routing key, or `None` if the query contains none.
fn routing_key_of(head: &Parts) -> Option<RoutingKey> {
    let query = head.uri.query()?;
    let key = query.split('&').find_map(|parameter| parameter.strip_prefix(ROUTING_KEY_PREFIX))?;
    Some(RoutingKey(hash_name(key)))
}

/// Returns the client's estimate of the request's work, or `None` if the header is missing or its value is
/// not a positive number.
fn cost_hint_of(head: &Parts) -> Option<Span> {
    let text = header_text(&head.headers, COST_HEADER)?;
    let micros = text.parse::<f64>().ok()?;
    if micros <= 0.0 || !micros.is_finite() {
        return None;
    }
    Some(Span::from_millis_f64(micros / 1e3))
}

/// Parses a timeout such as `480m` (milliseconds) or `900u` (microseconds). Returns `None` if the text has
/// another form, or if the timeout is zero or above [`MAX_TIMEOUT`].
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
