//! Tests of the log lines for notices.

use super::*;
use balancer_core::{EjectionReason, LatencyRatio};

fn ejection_of(server: ServerId) -> Notice {
    Notice::ServerEjected {
        server,
        reason: EjectionReason::Slow,
        latency_ratio: LatencyRatio::new(4.256),
        fleet_median: LatencyRatio::new(1.1),
    }
}

#[test]
fn an_ejection_names_the_server_as_the_endpoint_list_does() {
    let mut names = RetainedServerNames::default();
    let server = names.intern("north-7");

    let text = format_notice(&ejection_of(server), &names);

    assert_eq!(text, "server north-7 ejected (slow): latency is 4.26 times its objective, fleet median 1.10");
}

#[test]
fn an_ejection_of_a_server_whose_name_is_forgotten_states_its_id() {
    let text = format_notice(&ejection_of(ServerId(42)), &RetainedServerNames::default());

    assert!(text.starts_with("server number 42 ejected (slow)"), "{text}");
}
