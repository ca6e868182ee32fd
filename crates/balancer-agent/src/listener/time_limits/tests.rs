//! Tests of the time limits of each phase, on a paused clock.

use super::*;
use std::rc::Rc;
use tokio::time::advance;

const LONGEST_TIMEOUT: Duration = Duration::from_secs(3);

/// The state and the limits of a connection that was accepted one second ago.
struct Connection {
    state: Rc<ConnectionState>,
    limits: TimeLimits,
    accepted_at: Instant,
}

impl Connection {
    async fn accepted_a_second_ago() -> Self {
        let state = ConnectionState::new(Instant::now());
        let limits = TimeLimits::new(&state, LONGEST_TIMEOUT);
        let connection = Connection { state, limits, accepted_at: Instant::now() };
        advance(Duration::from_secs(1)).await;
        connection
    }

    /// Returns the connection's limit at this slot usage, without a shutdown.
    fn limit(&self, usage: SlotUsage) -> Option<Instant> {
        self.limits.current(&self.state, usage, None)
    }

    /// Records that a request has been received and its response written.
    fn record_exchange(&self) {
        self.state.record_request_bytes();
        self.state.record_request_complete();
        self.state.record_response_ready();
        self.state.record_flush();
    }
}

#[tokio::test(start_paused = true)]
async fn the_first_request_is_timed_from_the_accept() {
    let connection = Connection::accepted_a_second_ago().await;
    let limit = Some(connection.accepted_at + READ_TIMEOUT);
    assert_eq!(connection.limit(SlotUsage::Low), limit, "silent");

    connection.state.record_request_bytes();

    assert_eq!(connection.limit(SlotUsage::Low), limit, "receiving");
}

/// Guards against clients that are neither responded to nor disconnected within 3 s because they have waited
/// for a slot.
#[tokio::test(start_paused = true)]
async fn the_wait_for_a_slot_counts_towards_the_first_request() {
    let connected_at = Instant::now();
    for (waited, limit) in
        [(Duration::from_secs(1), READ_TIMEOUT), (READ_TIMEOUT, READ_TIMEOUT + MIN_SILENT_TIME)]
    {
        advance(connected_at + waited - Instant::now()).await;
        let state = ConnectionState::new(connected_at);
        let limits = TimeLimits::new(&state, LONGEST_TIMEOUT);
        assert_eq!(limits.current(&state, SlotUsage::High, None), Some(connected_at + limit), "silent");

        state.record_request_bytes();

        assert_eq!(limits.current(&state, SlotUsage::High, None), Some(connected_at + limit), "receiving");
    }
}

#[tokio::test(start_paused = true)]
async fn a_later_request_is_timed_from_its_first_byte() {
    let connection = Connection::accepted_a_second_ago().await;
    connection.record_exchange();

    connection.state.record_request_bytes();

    assert_eq!(connection.limit(SlotUsage::Low), Some(Instant::now() + READ_TIMEOUT));
}

#[tokio::test(start_paused = true)]
async fn a_request_in_progress_has_no_limit_and_its_response_the_longest_timeout() {
    let connection = Connection::accepted_a_second_ago().await;
    connection.state.record_request_bytes();
    connection.state.record_request_complete();
    assert_eq!(connection.limit(SlotUsage::Low), None);

    connection.state.record_response_ready();

    assert_eq!(connection.limit(SlotUsage::Low), Some(Instant::now() + LONGEST_TIMEOUT));
}

#[tokio::test(start_paused = true)]
async fn idle_connections_are_kept_for_less_time_while_slots_are_scarce() {
    let connection = Connection::accepted_a_second_ago().await;
    connection.record_exchange();
    let now = Instant::now();

    assert_eq!(connection.limit(SlotUsage::Low), Some(now + MAX_IDLE_TIME));
    assert_eq!(connection.limit(SlotUsage::Elevated), Some(now + MIN_IDLE_TIME));
    assert_eq!(connection.limit(SlotUsage::High), Some(now + MIN_IDLE_TIME));
}

#[tokio::test(start_paused = true)]
async fn a_closing_connection_waits_half_a_second_for_its_client() {
    let connection = Connection::accepted_a_second_ago().await;
    connection.record_exchange();

    connection.state.record_write_shutdown();

    assert_eq!(connection.limit(SlotUsage::Low), Some(Instant::now() + CLOSE_TIMEOUT));
}

#[tokio::test(start_paused = true)]
async fn a_shutdown_closes_silent_connections_when_accepting_ends() {
    let connection = Connection::accepted_a_second_ago().await;
    let schedule = ShutdownSchedule::starting_at(Instant::now(), LONGEST_TIMEOUT);
    let limit = |limits: &TimeLimits| limits.current(&connection.state, SlotUsage::Low, Some(schedule));
    assert_eq!(limit(&connection.limits), Some(schedule.accept_until));

    advance(Duration::from_millis(640)).await;
    let state = ConnectionState::new(Instant::now());
    let accepted_late = TimeLimits::new(&state, LONGEST_TIMEOUT);

    assert_eq!(limit(&accepted_late), Some(Instant::now() + MIN_SILENT_TIME));
}
