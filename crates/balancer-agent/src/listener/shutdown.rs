//! The schedule of a graceful shutdown, and the signal that it has begun.

use std::future::pending;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

/// How long new connections are accepted after SIGTERM, as clients go on connecting for a while.
const ACCEPT_TIME: Duration = Duration::from_millis(650);
/// The most that a deadline extends the shutdown. SIGKILL follows no sooner than 0.7 s and the longest
/// deadline after SIGTERM (PROTOCOL page, "Figures").
const MAX_DEADLINE: Duration = Duration::from_secs(3);
/// How long the last answers may take to be written.
const FLUSH_TIME: Duration = Duration::from_millis(30);

/// The times of a graceful shutdown.
#[derive(Clone, Copy)]
pub struct ShutdownSchedule {
    /// New connections are accepted until then.
    pub accept_until: Instant,
    /// Every request is answered by then.
    pub answer_by: Instant,
}

impl ShutdownSchedule {
    /// The schedule of a shutdown that starts now, where requests have at most this deadline.
    pub fn starting_at(now: Instant, longest_deadline: Duration) -> Self {
        let accept_until = now + ACCEPT_TIME;
        let answer_by = accept_until + longest_deadline.min(MAX_DEADLINE);
        ShutdownSchedule { accept_until, answer_by }
    }

    /// When the agent exits, even if answers have not been written completely.
    pub fn exit_by(&self) -> Instant {
        self.answer_by + FLUSH_TIME
    }
}

/// Notifies the tasks of the listener that a shutdown has begun.
pub struct ShutdownSignal {
    schedule: watch::Sender<Option<ShutdownSchedule>>,
}

impl ShutdownSignal {
    /// A signal that has not been given.
    pub fn new() -> Self {
        ShutdownSignal { schedule: watch::Sender::new(None) }
    }

    /// Begins the shutdown.
    pub fn start(&self, schedule: ShutdownSchedule) {
        self.schedule.send_replace(Some(schedule));
    }

    /// The schedule, if a shutdown has begun.
    pub fn schedule(&self) -> Option<ShutdownSchedule> {
        *self.schedule.borrow()
    }

    /// Whether a shutdown has begun.
    pub fn has_started(&self) -> bool {
        self.schedule().is_some()
    }

    /// Resolves once a shutdown has begun.
    pub async fn started(&self) -> Option<ShutdownSchedule> {
        let mut receiver = self.schedule.subscribe();
        let schedule = receiver.wait_for(Option::is_some).await.ok()?;
        *schedule
    }

    /// Resolves when a shutdown leaves no more time for answers.
    pub async fn answers_due(&self) {
        match self.started().await {
            Some(schedule) => sleep_until(schedule.answer_by).await,
            None => pending().await,
        }
    }
}
