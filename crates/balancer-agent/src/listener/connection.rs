//! One client's connection: how long it may go on as it is, and its end.

use super::accept::{MIN_IDLE_TIME, MIN_SILENT_TIME};
use super::{Listener, SHORT_SHARE};
use crate::framing::{ClientStream, ConnectionState, Phase, MAX_HEAD_BYTES};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{sleep_until, Instant};

/// A request must be complete within this of its first byte, and a connection's first request within this of
/// the connect: what connects and says nothing, or half of something, holds a slot that others need.
pub const READ_TIMEOUT: Duration = Duration::from_millis(2_300);
/// An idle connection is closed after this; much sooner where connections run short.
const MAX_IDLE_TIME: Duration = Duration::from_secs(10);
/// After its last answer a connection waits this long for its client to end it.
pub const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// How often a connection's time is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

impl Listener {
    /// Serves a connection until it ends or its time is over.
    pub(super) async fn serve_connection(
        self: Rc<Self>,
        stream: TcpStream,
        state: Rc<ConnectionState>,
        eviction: Rc<Notify>,
    ) {
        let accepted_at = Instant::now();
        let (listener, connection_state) = (self.clone(), state.clone());
        let service =
            service_fn(move |request| listener.clone().handle_request(request, connection_state.clone()));
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES).max_header_size(MAX_HEAD_BYTES);
        let stream = ClientStream::new(stream, state.clone());
        let mut connection = pin!(builder.serve_connection(stream, service));
        let mut is_shutting_down = false;
        loop {
            let limit = self.time_limit(&state, accepted_at);
            if Instant::now() >= limit {
                return;
            }
            // What has come is looked at before the connection's time.
            tokio::select! {
                biased;
                // An error here is the client's leaving or its bad bytes; both concern this connection alone.
                _ = connection.as_mut() => return,
                // It may have sent something since it was asked to close.
                () = eviction.notified() => if is_without_request(state.phase()) {
                    return;
                },
                _ = self.shutdown.started(), if !is_shutting_down => {
                    is_shutting_down = true;
                    // A request that is on its way, or is the first, is still answered; that closes.
                    if !matches!(state.phase(), Phase::Silent | Phase::Receiving) {
                        connection.as_mut().graceful_shutdown();
                    }
                }
                () = sleep_until(limit.min(Instant::now() + CHECK_INTERVAL)) => {}
            }
        }
    }

    /// Until when a connection may go on as it is.
    fn time_limit(&self, state: &ConnectionState, accepted_at: Instant) -> Instant {
        let since = state.phase_since();
        match state.phase() {
            Phase::Silent => self.silent_limit(accepted_at),
            Phase::Receiving if state.has_answered() => since + READ_TIMEOUT,
            // The first request's time counts from the connect.
            Phase::Receiving => accepted_at + READ_TIMEOUT,
            // A request that is complete ends by its deadline.
            Phase::Processing => Instant::now() + CHECK_INTERVAL,
            // By then its client waits for it no more.
            Phase::Answering => since + self.longest_deadline.max(MIN_IDLE_TIME),
            Phase::Idle if self.has_taken(SHORT_SHARE) => since + MIN_IDLE_TIME,
            Phase::Idle => since + MAX_IDLE_TIME,
            Phase::Closing => since + CLOSE_TIMEOUT,
        }
    }

    /// At a shutdown, who connects to ask has asked soon; no others come.
    fn silent_limit(&self, accepted_at: Instant) -> Instant {
        let limit = accepted_at + READ_TIMEOUT;
        let schedule = self.shutdown.schedule();
        schedule.map_or(limit, |schedule| limit.min(schedule.accept_until.max(accepted_at + MIN_SILENT_TIME)))
    }
}

fn is_without_request(phase: Phase) -> bool {
    matches!(phase, Phase::Silent | Phase::Idle | Phase::Closing)
}
