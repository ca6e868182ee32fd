//! Graceful shutdown: when connections are no longer accepted, and when the last answers are due.

use super::Listener;
use std::future::pending;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep_until, timeout_at, Instant};

/// After SIGTERM new connections go on coming for a while; each is still accepted.
const ACCEPT_TIME: Duration = Duration::from_millis(650);
/// SIGKILL follows no sooner than 0.7 s and the longest deadline after SIGTERM (PROTOCOL page, "Figures"); a
/// deadline over this counts as this.
const MAX_DEADLINE: Duration = Duration::from_secs(3);
/// The last answers are written within this.
const FLUSH_TIME: Duration = Duration::from_millis(30);

/// The times of a graceful shutdown.
#[derive(Clone, Copy)]
pub struct ShutdownSchedule {
    /// Until then new connections are accepted.
    pub accept_until: Instant,
    /// By then every request has its answer.
    pub answer_by: Instant,
}

/// Tells the tasks of the listener that a shutdown has begun.
pub struct ShutdownSignal(watch::Sender<Option<ShutdownSchedule>>);

impl ShutdownSignal {
    /// No shutdown has begun.
    pub fn new() -> Self {
        ShutdownSignal(watch::Sender::new(None))
    }

    /// Begins the shutdown.
    pub fn start(&self, schedule: ShutdownSchedule) {
        self.0.send_replace(Some(schedule));
    }

    /// The schedule, if a shutdown has begun.
    pub fn schedule(&self) -> Option<ShutdownSchedule> {
        *self.0.borrow()
    }

    /// Whether a shutdown has begun.
    pub fn has_started(&self) -> bool {
        self.schedule().is_some()
    }

    /// Resolves once a shutdown has begun.
    pub async fn started(&self) -> Option<ShutdownSchedule> {
        let mut receiver = self.0.subscribe();
        receiver.wait_for(Option::is_some).await.ok().and_then(|schedule| *schedule)
    }

    /// Resolves when a shutdown leaves no more time for answers.
    pub async fn answers_due(&self) {
        match self.started().await {
            Some(schedule) => sleep_until(schedule.answer_by).await,
            None => pending().await,
        }
    }
}

impl Listener {
    /// Shuts down gracefully: says `Connection: close` from now on, closes what is idle, and returns once
    /// `accepting` has accepted what still came and every connection has its last answer, or when SIGKILL is
    /// due.
    pub async fn shut_down(&self, accepting: JoinHandle<()>) {
        let accept_until = Instant::now() + ACCEPT_TIME;
        let answer_by = accept_until + self.longest_deadline.min(MAX_DEADLINE);
        self.shutdown.start(ShutdownSchedule { accept_until, answer_by });
        let all_closed = async {
            // It ends by itself.
            let _ = accepting.await;
            while !self.connections.borrow().is_empty() {
                self.connection_closed.notified().await;
            }
        };
        let _ = timeout_at(answer_by + FLUSH_TIME, all_closed).await;
    }
}
