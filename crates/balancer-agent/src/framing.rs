//! Finds the boundaries of each request on a client connection before hyper reads it.
//!
//! hyper drops a `Content-Length` beside a `Transfer-Encoding` and merges equal `Content-Length` headers, so
//! the request it returns no longer shows that another peer might read the message differently. It also reads
//! ahead, so an idle connection and one with a partly received request look alike. [`ClientStream`] gives
//! hyper one complete head, then as many body bytes as the head announces, and nothing of the next request
//! until the current one is answered.

mod client_stream;
mod connection_state;
mod parser;
mod request_framer;

pub use client_stream::ClientStream;
pub use connection_state::{ConnectionState, FramingFault, Phase};

/// The size limit of a request's head, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
