//! A server that shows the test each request and answers by a script.

use super::messages::{ok_response, read_message, Message};
use super::within_time_limit;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Notify};

const CHANNEL_CAPACITY: usize = 1024;

/// Holds responses back until the test releases them.
#[derive(Clone, Default)]
pub struct ResponseGate(Arc<Notify>);

impl ResponseGate {
    /// Releases one response: one that waits now, or else the next.
    pub fn release_one(&self) {
        self.0.notify_one();
    }

    /// Releases all responses that wait now.
    pub fn release_waiting(&self) {
        self.0.notify_waiters();
    }

    async fn wait(&self) {
        self.0.notified().await;
    }
}

/// What a test server does with a request.
#[derive(Clone)]
pub enum ServerReply {
    /// Sends these bytes, and the connection stays open.
    KeepOpen(Vec<u8>),
    /// Sends these bytes, and the server's side of the connection is closed.
    Close(Vec<u8>),
    /// Sends these bytes once the test releases them; the connection stays open.
    WhenReleased(ResponseGate, Vec<u8>),
    /// Sends nothing on an open connection.
    Silent,
}

impl ServerReply {
    /// Errors are ignored: whether the agent still reads is for the test to judge.
    async fn send(self, stream: &mut TcpStream) {
        match self {
            ServerReply::KeepOpen(bytes) => stream.write_all(&bytes).await.unwrap_or(()),
            ServerReply::Close(bytes) => {
                stream.write_all(&bytes).await.unwrap_or(());
                stream.shutdown().await.unwrap_or(());
            }
            ServerReply::WhenReleased(gate, bytes) => {
                gate.wait().await;
                stream.write_all(&bytes).await.unwrap_or(());
            }
            ServerReply::Silent => {}
        }
    }
}

/// A running test server.
pub struct TestServer {
    /// Where it listens.
    pub address: SocketAddr,
    /// The requests that it has received.
    pub requests: mpsc::Receiver<Message>,
    accepted: Arc<AtomicUsize>,
    closed: mpsc::Receiver<usize>,
}

impl TestServer {
    /// A server that answers each request as the script says.
    pub async fn start(script: impl Fn(&Message) -> ServerReply + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (request_sender, requests) = mpsc::channel(CHANNEL_CAPACITY);
        let (closed_sender, closed) = mpsc::channel(CHANNEL_CAPACITY);
        let accepted = Arc::new(AtomicUsize::new(0));
        let handler =
            ConnectionHandler { script: Arc::new(script), requests: request_sender, closed: closed_sender };
        tokio::spawn(accept_connections(listener, accepted.clone(), handler));
        TestServer { address, requests, accepted, closed }
    }

    /// A server that answers each request with a 200 of this body.
    pub async fn responding_with(body: &str) -> Self {
        let response = ok_response(body);
        Self::start(move |_| ServerReply::KeepOpen(response.clone())).await
    }

    /// A server that gives these replies in turn, and the last one from then on.
    pub async fn replying_in_turn(replies: Vec<ServerReply>) -> Self {
        let count = AtomicUsize::new(0);
        Self::start(move |_| {
            let number = count.fetch_add(1, Ordering::SeqCst);
            replies[number.min(replies.len() - 1)].clone()
        })
        .await
    }

    /// A server that holds each response, a 200 of this body, until the test releases it.
    pub async fn holding_responses(body: &str) -> (Self, ResponseGate) {
        let gate = ResponseGate::default();
        let held = ServerReply::WhenReleased(gate.clone(), ok_response(body));
        (Self::start(move |_| held.clone()).await, gate)
    }

    /// A server that holds this response to each payment until the test releases it, and replies to other
    /// requests at once.
    pub async fn holding_payments(
        payment_response: Vec<u8>,
        other_reply: ServerReply,
    ) -> (Self, ResponseGate) {
        let gate = ResponseGate::default();
        let held = ServerReply::WhenReleased(gate.clone(), payment_response);
        let reply = move |request: &Message| {
            let is_payment = request.head.contains("/pay");
            if is_payment {
                held.clone()
            } else {
                other_reply.clone()
            }
        };
        let server = Self::start(reply).await;
        (server, gate)
    }

    /// Awaits the next request.
    pub async fn next_request(&mut self) -> Message {
        within_time_limit("a request at the server", self.requests.recv()).await.expect("a request")
    }

    /// Whether a request has arrived that the test has not looked at.
    pub fn has_further_request(&mut self) -> bool {
        self.requests.try_recv().is_ok()
    }

    /// Awaits the number of the next connection that the agent closes.
    pub async fn next_closed_connection(&mut self) -> usize {
        within_time_limit("a closed connection at the server", self.closed.recv())
            .await
            .expect("a closed connection")
    }

    /// How many connections have been accepted.
    pub fn accepted_connections(&self) -> usize {
        self.accepted.load(Ordering::SeqCst)
    }
}

/// What the connections of a server share.
#[derive(Clone)]
struct ConnectionHandler {
    script: Arc<dyn Fn(&Message) -> ServerReply + Send + Sync>,
    requests: mpsc::Sender<Message>,
    closed: mpsc::Sender<usize>,
}

async fn accept_connections(listener: TcpListener, accepted: Arc<AtomicUsize>, handler: ConnectionHandler) {
    while let Ok((stream, _)) = listener.accept().await {
        let number = accepted.fetch_add(1, Ordering::SeqCst);
        tokio::spawn(handler.clone().serve(stream, number));
    }
}

impl ConnectionHandler {
    async fn serve(self, mut stream: TcpStream, number: usize) {
        while let Some(request) = read_message(&mut stream, number).await {
            let reply = (self.script)(&request);
            // A test that counts otherwise need not look at each request.
            let _ = self.requests.try_send(request);
            reply.send(&mut stream).await;
        }
        let _ = self.closed.send(number).await;
    }
}
