//! Checking a client's request (PROTOCOL page, "The application to its agent").

use super::connection::READ_TIMEOUT;
use super::invalid_request::InvalidRequest;
use super::Listener;
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
use hyper::{Method, Request};
use std::time::Duration;
use tokio::time::{timeout, Instant};

/// The header with a request's id.
pub const REQUEST_ID: &str = "x-request-id";
/// The longest id of a request that is kept.
const MAX_ID: usize = 256;
/// The part of a client's wait that is kept for writing the answer, and the share of the wait that it may
/// take.
const ANSWER_TIME: Duration = Duration::from_millis(6);
const ANSWER_TIME_DIVISOR: u32 = 4;
/// The longest wait that a request may ask for.
const MAX_WAIT: Duration = Duration::from_secs(600);

impl Listener {
    /// Reads a request completely.
    ///
    /// # Errors
    ///
    /// The first thing that is wrong with it.
    pub(super) async fn read_request(
        &self,
        request: Request<Incoming>,
    ) -> Result<ClientRequest, InvalidRequest> {
        let (head, body) = request.into_parts();
        let class = self.class_of(&head)?;
        if header_text(&head.headers, REQUEST_ID).is_none_or(|id| id.is_empty() || id.len() > MAX_ID) {
            return Err(InvalidRequest::BadRequestId);
        }
        let tenant = self.tenant_of(&head)?;
        let wait = header_text(&head.headers, "x-timeout").and_then(parse_wait);
        let wait = wait.ok_or(InvalidRequest::BadTimeout)?;
        check_effect(self.driver.effect_of(class), &head)?;
        let body = read_body(body).await?;
        let answer_time = ANSWER_TIME.min(wait / ANSWER_TIME_DIVISOR);
        Ok(ClientRequest {
            class,
            tenant,
            routing_key: routing_key_of(&head),
            cost_hint: cost_hint_of(&head),
            is_client_retry: header_text(&head.headers, "x-retried") == Some("1"),
            deadline: Instant::now() + wait.saturating_sub(answer_time),
            headers: forwarded_headers(&head.headers),
            method: head.method,
            uri: head.uri,
            body,
        })
    }

    /// The class that the path and the header name.
    fn class_of(&self, head: &Parts) -> Result<ClassId, InvalidRequest> {
        let path = head.uri.path();
        let name = path.trim_start_matches('/').split('/').next().unwrap_or_default();
        let class_names = &self.driver.host_settings().class_names;
        let class = class_names.iter().position(|known| known == name);
        let class = class.ok_or(InvalidRequest::UnknownClass)?;
        if header_text(&head.headers, "x-priority-class") != Some(name) {
            return Err(InvalidRequest::ClassMismatch);
        }
        Ok(ClassId(class))
    }

    /// The tenant that the header names; none where there are no tenants.
    fn tenant_of(&self, head: &Parts) -> Result<Option<TenantId>, InvalidRequest> {
        let tenant_names = &self.driver.host_settings().tenant_names;
        if tenant_names.is_empty() {
            return Ok(None);
        }
        let name = header_text(&head.headers, "x-tenant-id");
        let tenant = name.and_then(|name| tenant_names.iter().position(|known| known == name));
        let tenant = tenant.ok_or(InvalidRequest::UnknownTenant)?;
        Ok(Some(TenantId(tenant)))
    }
}

/// The effect of a class decides the method, and whether an idempotency key is needed.
fn check_effect(effect: Effect, head: &Parts) -> Result<(), InvalidRequest> {
    let is_idempotent = effect == Effect::Idempotent;
    let (method, allowed) = if is_idempotent { (Method::GET, "GET") } else { (Method::POST, "POST") };
    if head.method != method {
        return Err(InvalidRequest::WrongMethod { allowed });
    }
    let has_key = head.headers.get("idempotency-key").is_some_and(|key| !key.is_empty());
    if matches!(effect, Effect::Deduplicated { .. }) && !has_key {
        return Err(InvalidRequest::MissingIdempotencyKey);
    }
    Ok(())
}

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

fn routing_key_of(head: &Parts) -> Option<RoutingKey> {
    let query = head.uri.query().unwrap_or_default();
    let key = query.split('&').find_map(|pair| pair.strip_prefix("key="));
    key.map(|key| RoutingKey(hash_name(key)))
}

fn cost_hint_of(head: &Parts) -> Option<Span> {
    let micros = header_text(&head.headers, "x-cost").and_then(|cost| cost.parse::<f64>().ok());
    let micros = micros.filter(|micros| *micros > 0.0 && micros.is_finite());
    micros.map(|micros| Span::from_millis_f64(micros / 1e3))
}

/// A header's value, if it is text.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Reads a wait such as `480m` (milliseconds) or `900u` (microseconds).
fn parse_wait(text: &str) -> Option<Duration> {
    let (digits, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let micros_per_unit = match unit {
        "m" => 1000.0,
        "u" => 1.0,
        _ => return None,
    };
    let is_decimal = digits.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    if digits.is_empty() || !is_decimal {
        return None;
    }
    let seconds = digits.parse::<f64>().ok()? * micros_per_unit / 1e6;
    let wait = Duration::try_from_secs_f64(seconds).ok()?;
    (!wait.is_zero() && wait <= MAX_WAIT).then_some(wait)
}

#[cfg(test)]
mod tests;
