//! Accepting connections, and evicting one that nobody needs when all slots are taken.

use super::{ClientConnection, Listener};
use crate::framing::Phase;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// Pause after an accept that failed, or descriptors that have run out would make the loop spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Where all slots are taken, a connection that has sent nothing for this long is evicted: clients connect to
/// ask.
pub const MIN_SILENT_TIME: Duration = Duration::from_millis(100);
/// A connection must have been idle for as long as clients are promised (TERMS page: 2 s) before it is
/// evicted.
pub const MIN_IDLE_TIME: Duration = Duration::from_millis(2_050);

impl Listener {
    /// Accepts connections until a graceful shutdown. Each is accepted at once; where there is no slot for
    /// it, one that nobody needs is evicted, so that hundreds that say nothing do not shut the others out.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        let mut number = 0;
        while let Some(stream) = self.next_connection(&listener).await {
            self.wait_for_slot().await;
            self.clone().spawn_connection(number, stream);
            number += 1;
        }
    }

    /// The next connection; none once a shutdown has ended the accepting.
    async fn next_connection(&self, listener: &TcpListener) -> Option<TcpStream> {
        loop {
            tokio::select! {
                biased;
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => return Some(stream),
                    Err(_) => sleep(ACCEPT_PAUSE).await,
                },
                () = self.accepting_ended() => return None,
            }
        }
    }

    /// At a shutdown what waits in the system's queue is accepted too: it is empty once nothing comes of it
    /// for a moment.
    async fn accepting_ended(&self) {
        let schedule = self.shutdown.started().await;
        let quiet = Instant::now() + ACCEPT_PAUSE;
        sleep_until(schedule.map_or(quiet, |schedule| quiet.max(schedule.accept_until))).await;
    }

    async fn wait_for_slot(&self) {
        while self.connections.borrow().len() >= self.max_connections {
            self.evict_one();
            // A connection that closes frees its slot; one that may soon be evicted is found by looking
            // again.
            let _ = timeout(ACCEPT_PAUSE, self.connection_closed.notified()).await;
        }
    }

    fn spawn_connection(self: Rc<Self>, number: u64, stream: TcpStream) {
        let connection = ClientConnection::new();
        let (state, eviction) = (connection.state.clone(), connection.eviction.clone());
        self.connections.borrow_mut().insert(number, connection);
        tokio::task::spawn_local(async move {
            self.clone().serve_connection(stream, state, eviction).await;
            self.connections.borrow_mut().remove(&number);
            self.connection_closed.notify_one();
        });
    }

    /// Evicts the connection that can best be spared: one that has sent nothing, else the one that has been
    /// idle longest. One with a request open or on its way never is.
    fn evict_one(&self) {
        let connections = self.connections.borrow();
        let can_be_spared = |connection: &&ClientConnection| {
            let since = connection.state.phase_since();
            match connection.state.phase() {
                Phase::Silent => since.elapsed() >= MIN_SILENT_TIME,
                Phase::Idle => since.elapsed() >= MIN_IDLE_TIME,
                Phase::Closing => true,
                Phase::Receiving | Phase::Processing | Phase::Answering => false,
            }
        };
        let rank = |connection: &&ClientConnection| {
            (connection.state.phase() == Phase::Idle, connection.state.phase_since())
        };
        if let Some(spared) = connections.values().filter(can_be_spared).min_by_key(rank) {
            spared.eviction.notify_one();
        }
    }
}
