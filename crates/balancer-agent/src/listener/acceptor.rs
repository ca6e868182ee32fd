//! The acceptor of client connections, which continues for some time after a shutdown has started.

use super::shutdown::ShutdownSignal;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, sleep_until, Instant};

/// The delay before the retry of a failed accept. Without the delay, the loop would spin while no file
/// descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The kernel's accept queue counts as empty once no connection has been accepted for this long.
const EMPTY_QUEUE_TIME: Duration = Duration::from_millis(20);

/// An acceptor of the connections that clients open to a listening socket.
pub struct Acceptor {
    socket: TcpListener,
}

impl Acceptor {
    /// Creates an acceptor for this listening socket.
    pub fn new(socket: TcpListener) -> Self {
        Acceptor { socket }
    }

    /// Waits for the next connection. Returns `None` when the agent stops accepting connections during a
    /// shutdown.
    pub async fn next_connection(&self, shutdown: &ShutdownSignal) -> Option<TcpStream> {
        loop {
            tokio::select! {
                biased;
                accepted = self.socket.accept() => match accepted {
                    Ok((stream, _)) => return Some(stream),
                    Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
                },
                () = wait_until_accepting_ends(shutdown) => return None,
            }
        }
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
