//! Tests that draining and removed servers are sent no requests, and that a failed watch of the endpoint list
//! is reopened.

mod common;

use balancer_core::*;
use common::*;

/// Asserts that the second of two servers gets all requests after an update that leaves only this server
/// serving. `update` creates the update from the endpoints of both servers.
fn assert_first_server_gets_no_requests_after(update: impl Fn(Vec<Endpoint>) -> EndpointUpdate) {
    let mut harness = Harness::with_endpoints(idempotent_settings(), 2, fleet(2));

    harness.handle(Event::Endpoints(update(fleet(2))));

    for _ in 0..50 {
        let request = harness.submit_request();
        assert_eq!(request.server, Some(ServerId(1)));
        harness.advance_ms(10.0);
        harness.succeed(request.id, 10.0);
    }
    harness.assert_no_violations();
}

#[test]
fn draining_or_removed_endpoint_gets_no_requests() {
    for status in [EndpointStatus::Draining, EndpointStatus::Removed] {
        assert_first_server_gets_no_requests_after(|endpoints| {
            EndpointUpdate::Changes(vec![Endpoint { status, ..endpoints[0].clone() }])
        });
    }
}

#[test]
fn endpoint_missing_from_a_complete_list_gets_no_requests() {
    assert_first_server_gets_no_requests_after(|endpoints| EndpointUpdate::Complete(endpoints[1..].to_vec()));
}

#[test]
fn last_of_two_entries_for_a_server_is_used() {
    assert_first_server_gets_no_requests_after(|endpoints| {
        let draining = Endpoint { status: EndpointStatus::Draining, ..endpoints[0].clone() };
        EndpointUpdate::Complete(vec![endpoints[0].clone(), endpoints[1].clone(), draining])
    });
}

#[test]
fn failed_watch_is_reopened_and_the_endpoint_list_is_kept() {
    let settings = Settings { discovery_mode: DiscoveryMode::OnRequest, ..idempotent_settings() };
    let mut harness = Harness::new(settings, 2);
    assert!(harness.actions.contains(&Action::WatchEndpoints), "the watch is opened at the start");
    harness.set_endpoints(fleet(2));

    let mut watch_count = 0;
    for _ in 0..5 {
        harness.handle(Event::Endpoints(EndpointUpdate::Failed));
        let request = harness.submit_request();
        assert!(request.is_sent());
        harness.succeed(request.id, 10.0);
        let actions = harness.advance_ms(5000.0);
        watch_count += actions.iter().filter(|action| **action == Action::WatchEndpoints).count();
    }

    assert_eq!(
        watch_count, 5,
        "one watch is opened after each failure, within half of the longest poll interval"
    );
    harness.assert_no_violations();
}
