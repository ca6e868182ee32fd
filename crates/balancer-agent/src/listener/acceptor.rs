//! Accepting connections from the listening socket, in service and at the beginning of a shutdown.

use super::shutdown::ShutdownSignal;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, sleep_until, Instant};

/// The pause after a failed accept; without it the loop would spin while no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The kernel's accept queue counts as empty once nothing has been accepted for this long.
const EMPTY_QUEUE_TIME: Duration = Duration::from_millis(20);

/// Accepts the connections of clients.
pub struct Acceptor {
    socket: TcpListener,
}

impl Acceptor {
    /// Accepts connections from this socket.
    pub fn new(socket: TcpListener) -> Self {
        Acceptor { socket }
    }

    /// Awaits the next connection; `None` once a shutdown has ended the accepting.
    pub async fn next_connection(&self, shutdown: &ShutdownSignal) -> Option<TcpStream> {
        loop {
            tokio::select! {
                biased;
                accepted = self.socket.accept() => match accepted {
                    Ok((stream, _)) => return Some(stream),
                    Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
                },
                () = accepting_ended(shutdown) => return None,
            }
        }
    }
}

/// Resolves when a shutdown no longer accepts connections: at the scheduled time, but not before the accept
/// queue is empty.
async fn accepting_ended(shutdown: &ShutdownSignal) {
    let schedule = shutdown.started().await;
    let queue_empty_at = Instant::now() + EMPTY_QUEUE_TIME;
    let end = schedule.map_or(queue_empty_at, |schedule| schedule.accept_until.max(queue_empty_at));
    sleep_until(end).await;
}
