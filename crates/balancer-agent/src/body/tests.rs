//! Tests of which bodies are collected, and for which of them more memory is reserved.

use super::*;
use http_body_util::Full;
use hyper::body::Frame;
use std::cell::Cell;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

/// The maximum size of a body in these tests.
const PERMITTED: usize = 3 * EXPECTED_BODY_BYTES;

/// A body of unknown size.
struct UnsizedBody {
    parts: VecDeque<Bytes>,
}

impl UnsizedBody {
    /// Creates a body of this length, in parts of 1 KiB.
    fn of_length(length: usize) -> Self {
        let content = vec![7; length];
        UnsizedBody { parts: content.chunks(1 << 10).map(Bytes::copy_from_slice).collect() }
    }
}

impl Body for UnsizedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(self.parts.pop_front().map(|part| Ok(Frame::data(part))))
    }
}

/// Collects a body, with or without memory for the maximum size. Returns the result, and whether that memory
/// was asked for.
async fn collect<B>(body: B, has_memory: bool) -> (Result<Vec<u8>, BodyError>, bool)
where
    B: Body<Data = Bytes, Error = Infallible>,
{
    let size = BodySize::of(&body, PERMITTED);
    let is_asked_for = Cell::new(false);
    let reserve_max = async || {
        is_asked_for.set(true);
        has_memory
    };
    let result = collect_body(body, size, || (), reserve_max).await;
    (result, is_asked_for.get())
}

/// Guards against a short body of unknown size for which the memory of the longest one is reserved.
#[tokio::test]
async fn only_a_long_body_of_unknown_size_needs_more_memory_than_expected() {
    for (length, needs_more) in
        [(0, false), (EXPECTED_BODY_BYTES, false), (EXPECTED_BODY_BYTES + 1, true), (PERMITTED, true)]
    {
        let content = vec![7; length];
        assert_eq!(collect(UnsizedBody::of_length(length), true).await, (Ok(content.clone()), needs_more));

        let result = if needs_more { Err(BodyError::OutOfMemory) } else { Ok(content) };
        assert_eq!(collect(UnsizedBody::of_length(length), false).await, (result, needs_more));
    }
}

#[tokio::test]
async fn a_body_of_stated_size_needs_no_more_memory_than_that() {
    let content = vec![7; PERMITTED];
    assert_eq!(collect(Full::new(Bytes::from(content.clone())), false).await, (Ok(content), false));
}

#[tokio::test]
async fn a_body_over_the_permitted_size_is_too_long() {
    let (result, _) = collect(UnsizedBody::of_length(PERMITTED + 1), true).await;
    assert_eq!(result, Err(BodyError::TooLong));
}
