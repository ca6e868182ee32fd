//! The framing of requests: finds the boundaries of each request on a client connection before hyper parses
//! the request.
//!
//! hyper alone does not suffice, for two reasons:
//!
//! - hyper drops a `Content-Length` beside a `Transfer-Encoding` and merges equal `Content-Length` headers.
//!   The parsed request then no longer shows that its body length was ambiguous. Another HTTP implementation
//!   may find a different end of such a request, so the agent must reject it.
//! - hyper reads ahead. An idle connection then cannot be distinguished from one with a partly received
//!   request.
//!
//! [`ClientStream`] gives hyper one complete head and then the bytes of the body. The stream holds back the
//! bytes of the next request until the response to the current one has been written.

mod client_stream;
mod connection_state;
mod parser;
mod receive_buffer;
mod request_framer;

pub use client_stream::ClientStream;
pub use connection_state::{ConnectionState, FramingFault, Phase};

/// The maximum size of a request's head, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
