//! Where each request of a client's connection begins and ends, seen before hyper sees it.
//!
//! hyper drops a `Content-Length` that stands beside a `Transfer-Encoding` and takes equal lengths for one,
//! so what it hands on no longer shows that a peer might read the message otherwise. It also reads ahead, so
//! that an idle connection and one with a request on its way look alike. [`ClientStream`] passes on one
//! complete head, then the bytes that its length gives and nothing behind them until the request has its
//! answer.

mod client_stream;
mod connection_state;
mod parser;
mod request_framer;

pub use client_stream::ClientStream;
pub use connection_state::{ConnectionState, Phase};

/// The longest head of a request.
pub const MAX_HEAD: usize = 16 << 10;
