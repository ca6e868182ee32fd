//! The acceptor of client connections, which continues for some time after a shutdown has started.

use super::accept_queue::{AcceptQueue, ACCEPT_BACKLOG};
use super::shutdown::ShutdownSignal;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::coop;
use tokio::time::{sleep, sleep_until, Instant};

/// The delay before the retry of a failed accept. Without the delay, the loop would spin while no file
/// descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The kernel's accept queue counts as empty once no connection has been accepted for this long.
const EMPTY_QUEUE_TIME: Duration = Duration::from_millis(20);

/// Listens for clients on this address.
///
/// # Errors
///
/// Returns an error if the address is not one of this machine, or is in use.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

/// An acceptor of the connections that clients open to a listening socket.
pub struct Acceptor {
    socket: TcpListener,
    queue: AcceptQueue,
}

/// A connection that has been accepted.
pub struct AcceptedConnection {
    /// The socket of the connection.
    pub stream: TcpStream,
    /// The earliest time at which the client can have connected.
    pub connected_at: Instant,
}

impl Acceptor {
    /// Creates an acceptor for this listening socket.
    pub fn new(socket: TcpListener) -> Self {
        Acceptor { socket, queue: AcceptQueue::default() }
    }

    /// Waits for the next connection. Returns `None` when the agent stops accepting connections during a
    /// shutdown.
    pub async fn next_connection(&mut self, shutdown: &ShutdownSignal) -> Option<AcceptedConnection> {
        loop {
            tokio::select! {
                biased;
                accepted = poll_fn(|cx| self.poll_accept(cx)) => match accepted {
                    Ok(connection) => return Some(connection),
                    Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
                },
                () = wait_until_accepting_ends(shutdown) => return None,
            }
        }
    }

    fn poll_accept(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<AcceptedConnection>> {
        // A task without budget gets no connection, whether or not there is one.
        let has_budget = coop::has_budget_remaining();
        let Poll::Ready(accepted) = self.socket.poll_accept(cx) else {
            if has_budget {
                self.queue.record_empty();
            }
            return Poll::Pending;
        };
        let (stream, _) = accepted?;
        Poll::Ready(Ok(AcceptedConnection { stream, connected_at: self.queue.record_accept() }))
    }
}

/// Waits until the agent stops accepting connections: at the scheduled time of a shutdown, or later if the
/// accept queue is not empty by then.
///
/// This wait starts again after each accepted connection, so that [`EMPTY_QUEUE_TIME`] counts from the last
/// one.
async fn wait_until_accepting_ends(shutdown: &ShutdownSignal) {
    let schedule = shutdown.started().await;
    let queue_empty_at = Instant::now() + EMPTY_QUEUE_TIME;
    let end = schedule.map_or(queue_empty_at, |schedule| schedule.accept_until.max(queue_empty_at));
    sleep_until(end).await;
}
