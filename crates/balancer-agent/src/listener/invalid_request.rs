//! Why a request is invalid, and the response that says so.

use super::response::{text_response, ClientResponse};
use hyper::header::{HeaderValue, ALLOW};
use hyper::StatusCode;

/// Why a request is invalid. Each message is the text of the response to the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum InvalidRequest {
    /// Its body length can be read in two ways.
    #[error("the request's length can be read in two ways")]
    AmbiguousLength,
    /// Its path begins with no class of the settings.
    #[error("no such class of request")]
    UnknownClass,
    /// Its class header does not name the class of its path.
    #[error("X-Priority-Class must be the first part of the path")]
    ClassMismatch,
    /// Its id is missing, empty or too long.
    #[error("X-Request-ID is missing or too long")]
    BadRequestId,
    /// Another request with its id is open.
    #[error("a request with this X-Request-ID is open")]
    RequestIdInUse,
    /// Its tenant header names no tenant of the settings.
    #[error("X-Tenant-Id names no tenant")]
    UnknownTenant,
    /// Its timeout is missing or malformed.
    #[error("X-Timeout must be a time such as 480m or 900u")]
    BadTimeout,
    /// Its class has another method.
    #[error("this class has another method")]
    WrongMethod {
        /// The method of the class.
        allowed: &'static str,
    },
    /// Its class needs an idempotency key.
    #[error("this class needs an Idempotency-Key")]
    MissingIdempotencyKey,
    /// Its body exceeds the size limit.
    #[error("a body holds at most 64 KiB")]
    BodyTooLarge,
    /// Its body is malformed or was cut off.
    #[error("the body did not come whole")]
    IncompleteBody,
    /// Its body was not received in time.
    #[error("the body did not come in time")]
    BodyTimeout,
}

impl InvalidRequest {
    /// The status of the response.
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
