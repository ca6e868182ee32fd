//! Tests of the transitions in the state of a client connection.

use super::*;
use tokio::time::advance;

/// Returns the state of a connection whose first request has been received and responded to.
fn idle() -> Rc<ConnectionState> {
    let state = ConnectionState::new(Instant::now());
    state.record_request_bytes();
    state.record_request_complete();
    state.record_response_ready();
    state.record_flush();
    state
}

#[test]
fn a_request_goes_through_all_phases() {
    let state = ConnectionState::new(Instant::now());
    assert_eq!(state.phase(), Phase::Silent);

    state.record_request_bytes();
    assert_eq!(state.phase(), Phase::Receiving);

    state.record_request_complete();
    assert_eq!(state.phase(), Phase::Processing);

    state.record_response_ready();
    assert_eq!(state.phase(), Phase::Responding);
    assert!(!state.has_sent_response());

    state.record_flush();
    assert_eq!(state.phase(), Phase::Idle);
    assert!(state.has_sent_response());
}

#[test]
fn the_rest_of_a_request_after_an_early_response_changes_nothing() {
    let state = ConnectionState::new(Instant::now());
    state.record_request_bytes();
    state.record_response_ready();

    state.record_request_bytes();
    state.record_request_complete();

    assert_eq!(state.phase(), Phase::Responding);
}

#[test]
fn output_without_a_response_changes_nothing() {
    let state = ConnectionState::new(Instant::now());
    state.record_request_bytes();

    state.record_flush();

    assert_eq!(state.phase(), Phase::Receiving);
    assert!(!state.has_sent_response());
}

#[test]
fn only_the_first_read_after_a_response_reports_it() {
    let state = idle();

    assert!(state.record_read());
    assert!(!state.record_read());
    assert!(state.has_sent_response());
}

#[test]
fn a_connection_is_closing_if_no_read_followed_its_last_response() {
    let state = idle();
    assert!(state.record_write_shutdown());
    assert_eq!(state.phase(), Phase::Closing);

    let state = idle();
    state.record_read();
    assert!(!state.record_write_shutdown());
    assert_eq!(state.phase(), Phase::Idle);
}

#[test]
fn framing_faults_are_kept() {
    let state = ConnectionState::new(Instant::now());
    assert_eq!(state.framing_fault(), None);

    state.record_ambiguous_length();
    assert_eq!(state.framing_fault(), Some(FramingFault::AmbiguousLength));

    let state = ConnectionState::new(Instant::now());
    state.record_excess_bytes();
    assert_eq!(state.framing_fault(), Some(FramingFault::ExcessBytes));
}

/// Guards against a deadline that is later than the client's because the request waited for a slot of the
/// agent.
#[tokio::test(start_paused = true)]
async fn a_request_that_waited_in_the_socket_counts_from_the_connect() {
    let wait = Duration::from_millis(700);
    for (read_after, is_counted_from_connect) in
        [(MAX_FIRST_READ_TIME, true), (2 * MAX_FIRST_READ_TIME, false)]
    {
        let connected_at = Instant::now();
        advance(wait).await;
        let state = ConnectionState::new(connected_at);
        advance(read_after).await;
        state.record_request_bytes();
        state.record_request_complete();
        let read_at = Instant::now();
        advance(wait).await;

        let expected = if is_counted_from_connect { connected_at } else { read_at };
        assert_eq!(state.request_received_at(), expected, "read after {read_after:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_later_request_counts_from_its_last_byte() {
    let connected_at = Instant::now();
    advance(Duration::from_millis(700)).await;
    let state = ConnectionState::new(connected_at);
    for request_number in 0..2 {
        state.record_request_bytes();
        state.record_request_complete();
        let expected = if request_number == 0 { connected_at } else { Instant::now() };
        assert_eq!(state.request_received_at(), expected);
        state.record_response_ready();
        state.record_flush();
    }
}
