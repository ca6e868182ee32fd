//! The collection of a message's body into one buffer.

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Body;
use std::error::Error;

/// The reason why a body cannot be collected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// The body is longer than permitted.
    TooLong,
    /// The body is malformed, or its connection ended before the end of the body.
    Incomplete,
}

/// Collects a body of at most `max_size` bytes, and calls `on_part` for each part of it that arrives.
///
/// The parts are copied into one buffer. Each part is a view of hyper's read buffer, which is several times as
/// large as the part and would stay in memory with it.
///
/// # Errors
///
/// Returns an error if the body is too long or incomplete.
pub async fn collect_body<B>(body: B, max_size: usize, on_part: impl Fn()) -> Result<Vec<u8>, BodyError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let mut body = std::pin::pin!(Limited::new(body, max_size));
    let mut collected = Vec::with_capacity(max_size);
    while let Some(frame) = body.frame().await {
        on_part();
        let frame = frame.map_err(|error| match error.downcast_ref::<LengthLimitError>() {
            Some(_) => BodyError::TooLong,
            None => BodyError::Incomplete,
        })?;
        if let Ok(data) = frame.into_data() {
            collected.extend_from_slice(&data);
        }
    }
    collected.shrink_to_fit();
    Ok(collected)
}
