//! Tests of how long a connection may stay in each phase, on a paused clock.

use super::*;
use std::rc::Rc;
use tokio::time::advance;

const LONGEST_DEADLINE: Duration = Duration::from_secs(3);

/// A connection that was accepted a second before.
struct Connection {
    state: Rc<ConnectionState>,
    limits: TimeLimits,
    accepted_at: Instant,
}

impl Connection {
    async fn accepted_a_second_ago() -> Self {
        let connection = Connection {
            state: ConnectionState::new(),
            limits: TimeLimits::starting_now(LONGEST_DEADLINE),
            accepted_at: Instant::now(),
        };
        advance(Duration::from_secs(1)).await;
        connection
    }

    fn limit(&self, usage: SlotUsage) -> Option<Instant> {
        self.limits.current(&self.state, usage, None)
    }

    /// A request is received, answered and written.
    fn answer_request(&self) {
        self.state.request_bytes_received();
        self.state.request_completed();
        self.state.answer_decided();
        self.state.output_flushed();
    }
}

#[tokio::test(start_paused = true)]
async fn the_first_request_is_timed_from_the_accept() {
    let connection = Connection::accepted_a_second_ago().await;
    let limit = Some(connection.accepted_at + READ_TIMEOUT);
    assert_eq!(connection.limit(SlotUsage::Low), limit, "silent");

    connection.state.request_bytes_received();

    assert_eq!(connection.limit(SlotUsage::Low), limit, "receiving");
}

#[tokio::test(start_paused = true)]
async fn a_later_request_is_timed_from_its_first_byte() {
    let connection = Connection::accepted_a_second_ago().await;
    connection.answer_request();

    connection.state.request_bytes_received();

    assert_eq!(connection.limit(SlotUsage::Low), Some(Instant::now() + READ_TIMEOUT));
}

#[tokio::test(start_paused = true)]
async fn a_request_in_progress_has_no_limit_and_its_answer_the_longest_deadline() {
    let connection = Connection::accepted_a_second_ago().await;
    connection.state.request_bytes_received();
    connection.state.request_completed();
    assert_eq!(connection.limit(SlotUsage::Low), None);

    connection.state.answer_decided();

    assert_eq!(connection.limit(SlotUsage::Low), Some(Instant::now() + LONGEST_DEADLINE));
}

#[tokio::test(start_paused = true)]
async fn idle_connections_are_kept_for_less_time_while_slots_are_scarce() {
    let connection = Connection::accepted_a_second_ago().await;
    connection.answer_request();
    let now = Instant::now();

    assert_eq!(connection.limit(SlotUsage::Low), Some(now + MAX_IDLE_TIME));
    assert_eq!(connection.limit(SlotUsage::Elevated), Some(now + MIN_IDLE_TIME));
    assert_eq!(connection.limit(SlotUsage::High), Some(now + MIN_IDLE_TIME));
}

#[tokio::test(start_paused = true)]
async fn a_closing_connection_waits_half_a_second_for_its_client() {
    let connection = Connection::accepted_a_second_ago().await;
    connection.answer_request();

    connection.state.sending_shut_down();

    assert_eq!(connection.limit(SlotUsage::Low), Some(Instant::now() + CLOSE_TIMEOUT));
}

#[tokio::test(start_paused = true)]
async fn a_shutdown_closes_silent_connections_when_accepting_ends() {
    let connection = Connection::accepted_a_second_ago().await;
    let schedule = ShutdownSchedule::starting_at(Instant::now(), LONGEST_DEADLINE);
    let limit = |limits: &TimeLimits| limits.current(&connection.state, SlotUsage::Low, Some(schedule));
    assert_eq!(limit(&connection.limits), Some(schedule.accept_until));

    advance(Duration::from_millis(640)).await;
    let accepted_late = TimeLimits::starting_now(LONGEST_DEADLINE);

    assert_eq!(limit(&accepted_late), Some(Instant::now() + MIN_SILENT_TIME));
}
