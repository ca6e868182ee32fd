//! Sockets for rare states of connections: refused connects, full backlogs and small buffers.

use super::within_time_limit;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// An address that refuses connections. A bound socket reserves the port, so that no other test listens
/// there.
pub struct RefusingAddress {
    /// The address that refuses connections.
    pub address: SocketAddr,
    _bound_socket: TcpSocket,
}

impl RefusingAddress {
    /// Reserves an address that refuses connections.
    pub fn reserve() -> Self {
        let socket = bound_socket();
        RefusingAddress {
            address: socket.local_addr().expect("the socket should have an address"),
            _bound_socket: socket,
        }
    }
}

/// A listener with a full backlog. A connect to the listener stays in progress until the backlog has room.
pub struct FullBacklogListener {
    /// The address of the listener.
    pub address: SocketAddr,
    listener: TcpListener,
    /// The connections that fill the backlog.
    queued_connections: [TcpStream; 2],
}

impl FullBacklogListener {
    /// Starts the listener and fills its backlog.
    pub async fn start() -> Self {
        let listener = bound_socket().listen(1).expect("the socket should listen");
        let address = listener.local_addr().expect("the listener should have an address");
        // The kernel queues one connection more than the backlog of 1.
        let connect = || async { TcpStream::connect(address).await.expect("the backlog should have room") };
        let queued_connections = [connect().await, connect().await];
        FullBacklogListener { address, listener, queued_connections }
    }

    /// Empties the backlog and accepts the connection whose connect was in progress. The agent's kernel
    /// retries the connect about a second later.
    pub async fn accept_pending_connection(&self) -> TcpStream {
        for _ in &self.queued_connections {
            within_time_limit("a queued connection", self.listener.accept())
                .await
                .expect("the connection should be accepted");
        }
        accept_connection(&self.listener).await
    }
}

/// Waits for the agent's next connection and accepts it.
pub async fn accept_connection(listener: &TcpListener) -> TcpStream {
    let (stream, _) = within_time_limit("the agent's connection", listener.accept())
        .await
        .expect("the connection should be accepted");
    stream
}

/// Returns a listener whose connections have very small buffers. A peer can write only a little data to a
/// connection until the test reads it.
pub fn small_buffer_listener() -> TcpListener {
    let socket = small_buffer_socket();
    socket
        .bind(&"127.0.0.1:0".parse::<SocketAddr>().expect("the address should be valid").into())
        .expect("a loopback port should be free");
    socket.listen(16).expect("the socket should listen");
    TcpListener::from_std(socket.into()).expect("the listener should be registered")
}

/// Opens a connection with very small buffers. The peer can write only a little data until the test reads it.
pub async fn small_buffer_connection(address: SocketAddr) -> TcpStream {
    let socket = TcpSocket::from_std_stream(small_buffer_socket().into());
    socket.connect(address).await.expect("the agent should accept the connection")
}

fn small_buffer_socket() -> socket2::Socket {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)
        .expect("the socket should be created");
    // Small segments also limit how much data the agent's side of the connection buffers.
    socket.set_tcp_mss(88).expect("the socket option should be set");
    socket.set_recv_buffer_size(2048).expect("the socket option should be set");
    socket.set_nonblocking(true).expect("the socket option should be set");
    socket
}

fn bound_socket() -> TcpSocket {
    let socket = TcpSocket::new_v4().expect("the socket should be created");
    socket
        .bind("127.0.0.1:0".parse().expect("the address should be valid"))
        .expect("a loopback port should be free");
    socket
}
