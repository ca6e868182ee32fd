//! Guards rule three: nothing new goes to a server that drains or is gone.
mod common;
use balancer_core::*;
use common::*;

fn drained(update: impl Fn(Vec<Endpoint>) -> EndpointUpdate) {
    let settings = Settings { classes: vec![class(Effect::Idempotent)], ..Settings::default() };
    let mut rig = Rig::new(settings, 2);
    rig.list(fleet(2, 1, 1));
    rig.tell(Event::Endpoints(update(fleet(2, 1, 1))));
    for _ in 0..50 {
        let (id, sent) = rig.ask(0);
        assert_eq!(sent, Some(ServerId(1)));
        rig.wait(Span::from_ms(10.0));
        rig.answer(id, 0, Outcome::Success, 10.0);
    }
    rig.assert_rules();
}

#[test]
fn draining_or_removed_endpoint_gets_no_requests() {
    for status in [EndpointStatus::Draining, EndpointStatus::Removed] {
        drained(|lines| EndpointUpdate::Changes(vec![Endpoint { status, ..lines[0].clone() }]));
    }
}

#[test]
fn endpoint_missing_from_a_complete_list_gets_no_requests() {
    drained(|lines| EndpointUpdate::Complete(lines[1..].to_vec()));
}

#[test]
fn last_of_two_entries_for_a_server_counts() {
    drained(|lines| {
        let gone = Endpoint { status: EndpointStatus::Draining, ..lines[0].clone() };
        EndpointUpdate::Complete(vec![lines[0].clone(), lines[1].clone(), gone])
    });
}

#[test]
fn failed_watch_is_reopened_and_the_old_endpoint_list_stands() {
    let settings = Settings {
        discovery_mode: DiscoveryMode::OnRequest,
        classes: vec![class(Effect::Idempotent)],
        ..Settings::default()
    };
    let mut rig = Rig::new(settings, 2);
    assert!(rig.actions.contains(&Action::WatchEndpoints), "followed from the start");
    rig.list(fleet(2, 1, 1));
    let mut asked = 0;
    for _ in 0..5 {
        rig.tell(Event::Endpoints(EndpointUpdate::Failed));
        let (id, sent) = rig.ask(0);
        assert!(sent.is_some());
        rig.answer(id, 0, Outcome::Success, 10.0);
        let actions = rig.wait(Span::from_ms(5000.0));
        asked += actions.iter().filter(|a| **a == Action::WatchEndpoints).count();
    }
    assert_eq!(asked, 5, "one more call after each failure, within half of what the site asks");
    rig.assert_rules();
}
