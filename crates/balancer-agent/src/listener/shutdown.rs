//! The schedule of a graceful shutdown, and the signal that notifies the listener's tasks of the shutdown.

use std::future::pending;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

/// How long new connections are accepted after SIGTERM. Clients continue to connect for a while after it.
const ACCEPT_TIME: Duration = Duration::from_millis(650);
/// The maximum time for responses after [`ACCEPT_TIME`], even if clients wait longer. The agent must exit
/// before SIGKILL, which is sent no sooner than 0.7 s plus the longest timeout of a class after SIGTERM
/// (PROTOCOL page, "Figures").
const MAX_RESPONSE_TIME: Duration = Duration::from_secs(3);
/// The time for writing the last responses before the agent exits.
const FLUSH_TIME: Duration = Duration::from_millis(30);

/// The times of a graceful shutdown.
#[derive(Clone, Copy)]
pub struct ShutdownSchedule {
    /// The time until which new connections are accepted.
    pub accept_until: Instant,
    /// The time by which the final response to every request must be known.
    pub respond_by: Instant,
}

impl ShutdownSchedule {
    /// Returns the schedule of a shutdown that starts at `now`. `longest_timeout` is the longest that clients
    /// wait for a response.
    pub fn starting_at(now: Instant, longest_timeout: Duration) -> Self {
        let accept_until = now + ACCEPT_TIME;
        let respond_by = accept_until + longest_timeout.min(MAX_RESPONSE_TIME);
        ShutdownSchedule { accept_until, respond_by }
    }

    /// Returns the time by which the agent exits, even if responses have not been written completely.
    pub fn exit_by(&self) -> Instant {
        self.respond_by + FLUSH_TIME
    }
}

/// The signal that notifies the listener's tasks that a shutdown has started.
pub struct ShutdownSignal {
    schedule: watch::Sender<Option<ShutdownSchedule>>,
}

impl ShutdownSignal {
    /// Creates a signal for a shutdown that has not started.
    pub fn new() -> Self {
        ShutdownSignal { schedule: watch::Sender::new(None) }
    }

    /// Notifies the tasks that a shutdown with this schedule has started.
    pub fn start(&self, schedule: ShutdownSchedule) {
        self.schedule.send_replace(Some(schedule));
    }

    /// Returns the schedule of the shutdown, or `None` if no shutdown has started.
    pub fn schedule(&self) -> Option<ShutdownSchedule> {
        *self.schedule.borrow()
    }

    /// Returns whether a shutdown has started.
    pub fn has_started(&self) -> bool {
        self.schedule().is_some()
    }

    /// Waits until a shutdown has started, and returns its schedule. Returns `None` if the sender of the
    /// signal has been dropped, so that no shutdown can start.
    pub async fn started(&self) -> Option<ShutdownSchedule> {
        let mut receiver = self.schedule.subscribe();
        let schedule = receiver.wait_for(Option::is_some).await.ok()?;
        *schedule
    }

    /// Waits until a shutdown has started and the final responses are due ([`ShutdownSchedule::respond_by`]).
    pub async fn responses_due(&self) {
        match self.started().await {
            Some(schedule) => sleep_until(schedule.respond_by).await,
            None => pending().await,
        }
    }
}
