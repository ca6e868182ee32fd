//! How connections to discovery are opened.

use crate::http_client::connect;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;

/// Opens connections to discovery.
pub trait Connector: 'static {
    /// A connection.
    type Stream: AsyncRead + AsyncWrite + Unpin + 'static;

    /// Opens a connection to an address.
    ///
    /// # Errors
    ///
    /// Returns an error if no connection can be established.
    fn connect(&self, address: SocketAddr) -> impl Future<Output = io::Result<Self::Stream>>;
}

/// Opens TCP connections.
pub struct TcpConnector;

impl Connector for TcpConnector {
    type Stream = TcpStream;

    async fn connect(&self, address: SocketAddr) -> io::Result<TcpStream> {
        connect(address).await
    }
}
