//! The reasons for which a request is invalid, and the response to an invalid request.

use super::response::{text_response, ClientResponse};
use crate::request_ids::ClaimError;
use hyper::header::{HeaderValue, ALLOW};
use hyper::StatusCode;

/// The reason why a request is invalid. The error message is the text of the response to the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum InvalidRequest {
    /// The length of the request's body is ambiguous.
    #[error("the request's length can be read in two ways")]
    AmbiguousLength,
    /// The first segment of the request's path is not the name of a class in the settings.
    #[error("no such class of request")]
    UnknownClass,
    /// The request's class header and path do not name the same class.
    #[error("X-Priority-Class must be the first part of the path")]
    ClassMismatch,
    /// The request's id is missing, empty or too long.
    #[error("X-Request-ID is missing or too long")]
    BadRequestId,
    /// Another request with the same id is open.
    #[error("a request with this X-Request-ID is open")]
    RequestIdInUse,
    /// A request with the same id may have run, and the class does not permit running it twice.
    #[error("a request with this X-Request-ID may have run")]
    RequestIdMayHaveRun,
    /// The request's tenant header is missing or does not name a tenant in the settings.
    #[error("X-Tenant-Id names no tenant")]
    UnknownTenant,
    /// The request's timeout is missing, malformed, zero or too long.
    #[error("X-Timeout must be a time such as 480m or 900u")]
    BadTimeout,
    /// The request's method is not the one that its class allows.
    #[error("this class has another method")]
    WrongMethod {
        /// The method that the class allows.
        allowed: &'static str,
    },
    /// The request has no idempotency key, which its class requires.
    #[error("this class needs an Idempotency-Key")]
    MissingIdempotencyKey,
    /// There is no memory or no connection slot for the request. It was not forwarded.
    #[error("refused; trying again is harmless")]
    NoCapacity,
    /// The request's body exceeds the size limit.
    #[error("a body holds at most 64 KiB")]
    BodyTooLarge,
    /// The request's body is malformed, or the stream ended before the end of the body.
    #[error("the body did not come whole")]
    IncompleteBody,
    /// The request was not received completely within the read timeout.
    #[error("the request did not come in time")]
    RequestTimeout,
}

impl InvalidRequest {
    /// Returns the status of the response to the client.
    pub fn status(self) -> StatusCode {
        match self {
            InvalidRequest::UnknownClass => StatusCode::NOT_FOUND,
            InvalidRequest::RequestIdInUse | InvalidRequest::RequestIdMayHaveRun => StatusCode::CONFLICT,
            InvalidRequest::WrongMethod { .. } => StatusCode::METHOD_NOT_ALLOWED,
            InvalidRequest::NoCapacity => StatusCode::TOO_MANY_REQUESTS,
            InvalidRequest::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            InvalidRequest::RequestTimeout => StatusCode::REQUEST_TIMEOUT,
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

impl From<ClaimError> for InvalidRequest {
    fn from(error: ClaimError) -> Self {
        match error {
            ClaimError::InUse => InvalidRequest::RequestIdInUse,
            ClaimError::MayHaveRun => InvalidRequest::RequestIdMayHaveRun,
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
