//! Tests of the transitions of a client connection.

use super::*;

/// The state after a request has been received and its answer written.
fn idle() -> Rc<ConnectionState> {
    let state = ConnectionState::new();
    state.request_bytes_received();
    state.request_completed();
    state.answer_decided();
    state.output_flushed();
    state
}

#[test]
fn a_request_goes_through_all_phases() {
    let state = ConnectionState::new();
    assert_eq!(state.phase(), Phase::Silent);

    state.request_bytes_received();
    assert_eq!(state.phase(), Phase::Receiving);

    state.request_completed();
    assert_eq!(state.phase(), Phase::Processing);

    state.answer_decided();
    assert_eq!(state.phase(), Phase::Answering);
    assert!(!state.has_answered());

    state.output_flushed();
    assert_eq!(state.phase(), Phase::Idle);
    assert!(state.has_answered());
}

#[test]
fn the_rest_of_a_request_that_was_answered_early_does_not_open_it_again() {
    let state = ConnectionState::new();
    state.request_bytes_received();
    state.answer_decided();

    state.request_bytes_received();
    state.request_completed();

    assert_eq!(state.phase(), Phase::Answering);
}

#[test]
fn output_without_an_answer_changes_nothing() {
    let state = ConnectionState::new();
    state.request_bytes_received();

    state.output_flushed();

    assert_eq!(state.phase(), Phase::Receiving);
    assert!(!state.has_answered());
}

#[test]
fn an_answer_is_acknowledged_once_by_the_next_read() {
    let state = idle();

    assert!(state.acknowledge_answer());
    assert!(!state.acknowledge_answer());
    assert!(state.has_answered());
}

#[test]
fn a_connection_closes_after_an_answer_that_was_not_acknowledged() {
    let state = idle();
    assert!(state.sending_shut_down());
    assert_eq!(state.phase(), Phase::Closing);

    let state = idle();
    state.acknowledge_answer();
    assert!(!state.sending_shut_down());
    assert_eq!(state.phase(), Phase::Idle);
}

#[test]
fn framing_faults_are_kept() {
    let state = ConnectionState::new();
    assert_eq!(state.framing_fault(), None);

    state.ambiguous_length_found();
    assert_eq!(state.framing_fault(), Some(FramingFault::AmbiguousLength));

    let state = ConnectionState::new();
    state.excess_bytes_dropped();
    assert_eq!(state.framing_fault(), Some(FramingFault::ExcessBytes));
}
