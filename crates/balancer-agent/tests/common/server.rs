//! A server whose replies the test controls, and which reports each request to the test.

use super::messages::{ok_response, read_message, Message};
use super::within_time_limit;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Notify};

/// The capacity of the two channels to the test: the maximum number of requests, and of closed connections,
/// that the test has not read.
const CHANNEL_CAPACITY: usize = 1024;

/// A gate that holds responses until the test releases them.
#[derive(Clone, Default)]
pub struct ResponseGate(Arc<Notify>);

impl ResponseGate {
    /// Releases one held response, or the next response if none is held now.
    pub fn release_one(&self) {
        self.0.notify_one();
    }

    /// Releases all responses that are held now.
    pub fn release_held(&self) {
        self.0.notify_waiters();
    }

    /// Waits until the test releases the response.
    async fn wait(&self) {
        self.0.notified().await;
    }
}

/// How a test server replies to a request.
#[derive(Clone)]
pub enum ServerReply {
    /// The server sends these bytes and keeps the connection open.
    KeepOpen(Vec<u8>),
    /// The server sends these bytes and shuts down its write half of the connection.
    Close(Vec<u8>),
    /// The server sends these bytes and resets the connection.
    Reset(Vec<u8>),
    /// The server sends these bytes once the gate releases them, and keeps the connection open.
    WhenReleased(ResponseGate, Vec<u8>),
    /// The server sends these bytes after a delay, and keeps the connection open.
    Delayed(Duration, Vec<u8>),
    /// The server sends a head without a length and then bytes until the agent closes the connection.
    Endless,
    /// The server sends nothing and keeps the connection open.
    Silent,
}

impl ServerReply {
    /// Sends the reply. Write errors are ignored, because the agent may have closed the connection, and the
    /// test checks what the agent has received.
    async fn send(self, stream: &mut TcpStream) {
        match self {
            ServerReply::KeepOpen(bytes) => stream.write_all(&bytes).await.unwrap_or(()),
            ServerReply::Close(bytes) => {
                stream.write_all(&bytes).await.unwrap_or(());
                stream.shutdown().await.unwrap_or(());
            }
            ServerReply::Reset(bytes) => {
                stream.write_all(&bytes).await.unwrap_or(());
                stream.set_zero_linger().expect("the socket option should be set");
            }
            ServerReply::WhenReleased(gate, bytes) => {
                gate.wait().await;
                stream.write_all(&bytes).await.unwrap_or(());
            }
            ServerReply::Delayed(delay, bytes) => {
                tokio::time::sleep(delay).await;
                stream.write_all(&bytes).await.unwrap_or(());
            }
            ServerReply::Endless => {
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await;
                while stream.write_all(&[b'x'; 4096]).await.is_ok() {}
            }
            ServerReply::Silent => {}
        }
    }
}

/// A running test server.
pub struct TestServer {
    /// The address that the server listens on.
    pub address: SocketAddr,
    /// The requests that have been received and not read by the test.
    pub requests: mpsc::Receiver<Message>,
    /// The number of accepted connections.
    accepted: Arc<AtomicUsize>,
    /// The numbers of the connections that the agent has closed.
    closed: mpsc::Receiver<usize>,
}

impl TestServer {
    /// Starts a server that sends the reply that `script` returns for each request.
    pub async fn start(script: impl Fn(&Message) -> ServerReply + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port should be free");
        let address = listener.local_addr().expect("the listener should have an address");
        let (request_sender, requests) = mpsc::channel(CHANNEL_CAPACITY);
        let (closed_sender, closed) = mpsc::channel(CHANNEL_CAPACITY);
        let accepted = Arc::new(AtomicUsize::new(0));
        let handler =
            ConnectionHandler { script: Arc::new(script), requests: request_sender, closed: closed_sender };
        tokio::spawn(accept_connections(listener, accepted.clone(), handler));
        TestServer { address, requests, accepted, closed }
    }

    /// Starts a server that sends a 200 response with this body to each request.
    pub async fn responding_with(body: &str) -> Self {
        let response = ok_response(body);
        Self::start(move |_| ServerReply::KeepOpen(response.clone())).await
    }

    /// Starts a server that sends these replies in order, and the last one to every further request.
    pub async fn replying_in_order(replies: Vec<ServerReply>) -> Self {
        let count = AtomicUsize::new(0);
        Self::start(move |_| {
            let number = count.fetch_add(1, Ordering::SeqCst);
            replies[number.min(replies.len() - 1)].clone()
        })
        .await
    }

    /// Starts a server that sends a 200 response with this body to each request once the gate releases it.
    pub async fn holding_responses(gate: &ResponseGate, body: &str) -> Self {
        let held_reply = ServerReply::WhenReleased(gate.clone(), ok_response(body));
        Self::start(move |_| held_reply.clone()).await
    }

    /// Starts a server that sends `payment_response` to each request of the class `pay` once the gate
    /// releases it, and handles other requests with `other_reply`.
    pub async fn holding_payments(
        gate: &ResponseGate,
        payment_response: Vec<u8>,
        other_reply: ServerReply,
    ) -> Self {
        let held_reply = ServerReply::WhenReleased(gate.clone(), payment_response);
        Self::start(move |request| {
            let is_payment = request.head.contains("/pay");
            if is_payment {
                held_reply.clone()
            } else {
                other_reply.clone()
            }
        })
        .await
    }

    /// Waits for the next request.
    pub async fn next_request(&mut self) -> Message {
        within_time_limit("a request at the server", self.requests.recv())
            .await
            .expect("the test server should be running")
    }

    /// Returns whether a request has been received that the test has not read. Removes the request from the
    /// queue.
    pub fn has_unread_request(&mut self) -> bool {
        self.requests.try_recv().is_ok()
    }

    /// Waits until the agent has closed a connection, and returns the number of the connection.
    pub async fn next_closed_connection(&mut self) -> usize {
        within_time_limit("a closed connection at the server", self.closed.recv())
            .await
            .expect("the test server should be running")
    }

    /// Returns the number of connections that have been accepted.
    pub fn accepted_connections(&self) -> usize {
        self.accepted.load(Ordering::SeqCst)
    }
}

/// A handler of the connections to a server. Each connection is served by a clone of the handler.
#[derive(Clone)]
struct ConnectionHandler {
    script: Arc<dyn Fn(&Message) -> ServerReply + Send + Sync>,
    requests: mpsc::Sender<Message>,
    closed: mpsc::Sender<usize>,
}

/// Accepts connections until the test ends, and serves each connection in its own task.
async fn accept_connections(listener: TcpListener, accepted: Arc<AtomicUsize>, handler: ConnectionHandler) {
    while let Ok((stream, _)) = listener.accept().await {
        let number = accepted.fetch_add(1, Ordering::SeqCst);
        tokio::spawn(handler.clone().serve(stream, number));
    }
}

impl ConnectionHandler {
    /// Replies to the requests of a connection until the agent closes or a reply resets the connection.
    async fn serve(self, mut stream: TcpStream, number: usize) {
        while let Some(request) = read_message(&mut stream, number).await {
            let reply = (self.script)(&request);
            // Sending fails if the channel is full because the test does not read the requests.
            let _ = self.requests.try_send(request);
            let ends_connection = matches!(reply, ServerReply::Reset(_));
            reply.send(&mut stream).await;
            if ends_connection {
                break;
            }
        }
        let _ = self.closed.send(number).await;
    }
}
