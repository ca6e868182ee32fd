//! Sockets in unusual states: addresses that refuse connections, full backlogs and small buffers.

use super::within_time_limit;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// An address that refuses connections. Its port stays reserved, so that no other test listens there.
pub struct RefusingAddress {
    /// The address.
    pub address: SocketAddr,
    _reserved: TcpSocket,
}

impl RefusingAddress {
    /// Reserves such an address.
    pub fn reserve() -> Self {
        let socket = bound_socket();
        RefusingAddress { address: socket.local_addr().expect("an address"), _reserved: socket }
    }
}

/// A listener with a full backlog: a connect to it stays in progress until the backlog has room.
pub struct FullListener {
    /// The address that it listens on.
    pub address: SocketAddr,
    listener: TcpListener,
    fillers: [TcpStream; 2],
}

impl FullListener {
    /// Starts the listener and fills its backlog.
    pub async fn start() -> Self {
        let listener = bound_socket().listen(1).expect("a listener");
        let address = listener.local_addr().expect("an address");
        // The kernel admits one connection more than the backlog of 1.
        let connect = || async { TcpStream::connect(address).await.expect("a place in the backlog") };
        let fillers = [connect().await, connect().await];
        FullListener { address, listener, fillers }
    }

    /// Makes room in the backlog and accepts the connection that was in progress. The kernel retries the
    /// connect within a second or so.
    pub async fn accept_waiting_connection(&self) -> TcpStream {
        for _ in &self.fillers {
            within_time_limit("a filling connection", self.listener.accept()).await.expect("a connection");
        }
        accept_connection(&self.listener).await
    }
}

/// Waits for the agent's next connection.
pub async fn accept_connection(listener: &TcpListener) -> TcpStream {
    let (stream, _) =
        within_time_limit("the agent's connection", listener.accept()).await.expect("a connection");
    stream
}

/// A listener whose connections buffer very little until they are read.
pub fn small_buffer_listener() -> TcpListener {
    let socket = small_buffer_socket();
    socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().expect("an address").into()).expect("a port");
    socket.listen(16).expect("a listener");
    TcpListener::from_std(socket.into()).expect("a listener")
}

/// A connection that buffers very little until it is read.
pub async fn small_buffer_connection(address: SocketAddr) -> TcpStream {
    let socket = TcpSocket::from_std_stream(small_buffer_socket().into());
    socket.connect(address).await.expect("a connection")
}

fn small_buffer_socket() -> socket2::Socket {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    // With small segments the agent's side of the connection buffers little as well.
    socket.set_tcp_mss(88).expect("an option");
    socket.set_recv_buffer_size(2048).expect("an option");
    socket.set_nonblocking(true).expect("an option");
    socket
}

fn bound_socket() -> TcpSocket {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    socket
}
