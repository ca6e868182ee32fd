//! A discovery service whose responses the test controls.

use crate::discovery::call::MAX_CALL_WAIT;
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::future::pending;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch::Sender;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// How a discovery service responds.
pub enum Responses {
    /// Each response takes this long, counted from the moment at which the service has a list to send.
    After(Duration),
    /// The first calls get these replies. Other calls get no response.
    InTurn(Vec<Reply>),
    /// No call gets a response.
    Never,
}

/// A reply to one call.
#[derive(Clone)]
pub enum Reply {
    /// The service sends the list with this version after this time.
    List(u64, Duration),
    /// The service sends this text at once.
    Text(String),
    /// The service closes the connection after this time.
    Close(Duration),
}

/// A discovery service whose list has no entries.
pub struct TestDiscovery {
    responses: Responses,
    /// The version of the list.
    pub version: Sender<u64>,
    /// The targets of the received calls.
    pub calls: RefCell<Vec<String>>,
    /// The number of connections that are open.
    pub open_connections: Cell<usize>,
    /// The largest number of connections that were open at a time.
    pub max_open_connections: Cell<usize>,
}

impl TestDiscovery {
    /// Starts a service with version 1 of the list, and returns its address.
    pub async fn start(responses: Responses) -> (Rc<Self>, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let discovery = Rc::new(TestDiscovery {
            responses,
            version: Sender::new(1),
            calls: RefCell::default(),
            open_connections: Cell::default(),
            max_open_connections: Cell::default(),
        });
        spawn_local(discovery.clone().accept(listener));
        (discovery, address)
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(self.clone().serve(stream));
        }
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream) {
        self.open_connections.set(self.open_connections.get() + 1);
        self.max_open_connections.set(self.max_open_connections.get().max(self.open_connections.get()));
        while let Some(target) = read_target(&mut stream).await {
            self.calls.borrow_mut().push(target.clone());
            let call_count = self.calls.borrow().len();
            let mut further_byte = [0];
            let body = tokio::select! {
                body = self.respond(&target, call_count) => body,
                // The client sends nothing while a call is open, so a read ends only at the end of the
                // connection.
                _ = stream.read(&mut further_byte) => None,
            };
            let Some(body) = body else { break };
            let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            stream.write_all(response.as_bytes()).await.unwrap_or(());
        }
        self.open_connections.set(self.open_connections.get() - 1);
    }

    /// Waits until the response to a call is due, and returns its body, or `None` if the connection is to be
    /// closed.
    async fn respond(&self, target: &str, call_count: usize) -> Option<String> {
        let reply = match &self.responses {
            Responses::After(delay) => Some(Reply::List(self.wait_for_change(target).await, *delay)),
            Responses::InTurn(replies) => replies.get(call_count - 1).cloned(),
            Responses::Never => None,
        };
        match reply {
            Some(Reply::List(version, delay)) => {
                sleep(delay).await;
                Some(list(version))
            }
            Some(Reply::Text(text)) => Some(text),
            Some(Reply::Close(delay)) => {
                sleep(delay).await;
                None
            }
            None => pending().await,
        }
    }

    /// Returns the version of the list, for a watch after a change or after the maximum wait.
    async fn wait_for_change(&self, target: &str) -> u64 {
        if let Some(known_version) = known_version(target) {
            let mut version = self.version.subscribe();
            let changed = version.wait_for(|version| *version > known_version);
            tokio::select! {
                _ = changed => {}
                () = sleep(MAX_CALL_WAIT) => {}
            }
        }
        *self.version.borrow()
    }
}

/// Reads a request and returns its target, or `None` at the end of the connection.
pub async fn read_target(stream: &mut (impl AsyncRead + Unpin)) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read_buf(&mut head).await.ok()? == 0 {
            return None;
        }
    }
    let head = String::from_utf8(head).expect("a text");
    head.split(' ').nth(1).map(str::to_owned)
}

/// Returns the version that a call waits for a change of, or `None` if it requests the complete list.
pub fn known_version(target: &str) -> Option<u64> {
    let (_, value) = target.split_once("after=")?;
    value.split('&').next()?.parse().ok()
}

fn list(version: u64) -> String {
    json!({"seq": version, "whole": true, "hosts": []}).to_string()
}
