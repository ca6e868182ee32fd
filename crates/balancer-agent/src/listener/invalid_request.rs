//! Invalid requests, and the answers to them.

use super::response::{text_response, ClientResponse};
use hyper::header::{HeaderValue, ALLOW};
use hyper::StatusCode;

/// What is wrong with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum InvalidRequest {
    #[error("the request's length can be read in two ways")]
    AmbiguousLength,
    #[error("no such class of request")]
    UnknownClass,
    #[error("X-Priority-Class must be the first part of the path")]
    ClassMismatch,
    #[error("X-Request-ID is missing or too long")]
    BadRequestId,
    #[error("a request with this X-Request-ID is open")]
    RequestIdInUse,
    #[error("X-Tenant-Id names no tenant")]
    UnknownTenant,
    #[error("X-Timeout must be a time such as 480m or 900u")]
    BadTimeout,
    #[error("this class has another method")]
    WrongMethod { allowed: &'static str },
    #[error("this class needs an Idempotency-Key")]
    MissingIdempotencyKey,
    #[error("a body holds at most 64 KiB")]
    BodyTooLarge,
    #[error("the body did not come whole")]
    IncompleteBody,
    #[error("the body did not come in time")]
    BodyTimeout,
}

impl InvalidRequest {
    /// The status of the answer.
    fn status(self) -> StatusCode {
        match self {
            InvalidRequest::UnknownClass => StatusCode::NOT_FOUND,
            InvalidRequest::RequestIdInUse => StatusCode::CONFLICT,
            InvalidRequest::WrongMethod { .. } => StatusCode::METHOD_NOT_ALLOWED,
            InvalidRequest::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            InvalidRequest::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            InvalidRequest::AmbiguousLength
            | InvalidRequest::ClassMismatch
            | InvalidRequest::BadRequestId
            | InvalidRequest::UnknownTenant
            | InvalidRequest::BadTimeout
            | InvalidRequest::MissingIdempotencyKey
            | InvalidRequest::IncompleteBody => StatusCode::BAD_REQUEST,
        }
    }
}

impl From<InvalidRequest> for ClientResponse {
    fn from(error: InvalidRequest) -> Self {
        let mut response = text_response(error.status(), &error.to_string());
        if let InvalidRequest::WrongMethod { allowed } = error {
            response.headers_mut().insert(ALLOW, HeaderValue::from_static(allowed));
        }
        response
    }
}
