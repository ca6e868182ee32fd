//! The collection of a message's body into one buffer.

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Body;
use std::error::Error;

/// The number of bytes that a body of unknown size gets at first. Most bodies are shorter.
const EXPECTED_BODY_BYTES: usize = 8 << 10;

/// The reason why a body cannot be collected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// The body is longer than permitted.
    TooLong,
    /// The body is malformed, or its connection ended before the end of the body.
    Incomplete,
    /// There is no memory for a body that is longer than expected.
    OutOfMemory,
}

/// The size of a body that has not been received, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodySize {
    /// The size for which the caller has memory: the stated one, or a usual one if none is stated.
    pub expected: usize,
    /// The maximum size.
    pub max: usize,
}

impl BodySize {
    /// Returns the size of a body that may have at most `permitted` bytes.
    pub fn of(body: &impl Body, permitted: usize) -> Self {
        let max = body.size_hint().upper().map_or(permitted, |size| permitted.min(size as usize));
        let is_stated = body.size_hint().exact().is_some();
        BodySize { expected: if is_stated { max } else { max.min(EXPECTED_BODY_BYTES) }, max }
    }
}

/// Collects a body, and calls `on_part` for each part of it that arrives. If the body is longer than
/// expected, calls `reserve_max`, which returns whether there is memory for a body of the maximum size.
///
/// The parts are copied into one buffer. Each part is a view of hyper's read buffer, which is several times
/// as large as the part and would stay in memory with it.
///
/// # Errors
///
/// Returns an error if the body is too long or incomplete, or if there is no memory for it.
pub async fn collect_body<B>(
    body: B,
    size: BodySize,
    on_part: impl Fn(),
    reserve_max: impl AsyncFnOnce() -> bool,
) -> Result<Vec<u8>, BodyError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let mut body = std::pin::pin!(Limited::new(body, size.max));
    let mut collected = Vec::with_capacity(size.expected);
    let mut reserve_max = Some(reserve_max);
    while let Some(frame) = body.frame().await {
        on_part();
        let frame = frame.map_err(|error| match error.downcast_ref::<LengthLimitError>() {
            Some(_) => BodyError::TooLong,
            None => BodyError::Incomplete,
        })?;
        let Ok(data) = frame.into_data() else { continue };
        let is_longer_than_expected = collected.len() + data.len() > size.expected;
        if let Some(reserve_max) = reserve_max.take_if(|_| is_longer_than_expected) {
            if !reserve_max().await {
                return Err(BodyError::OutOfMemory);
            }
            collected.reserve_exact(size.max - collected.len());
        }
        collected.extend_from_slice(&data);
    }
    collected.shrink_to_fit();
    Ok(collected)
}

#[cfg(test)]
mod tests;
