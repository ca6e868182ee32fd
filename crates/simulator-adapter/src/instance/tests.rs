//! Tests of how the actions and the panics of the balancer are reported.

use super::Instance;
use crate::wire::{WireAction, WireAttach};
use balancer_core::Action;

fn instance() -> Instance {
    let attach: WireAttach =
        serde_json::from_str(r#"{"salt":1,"params":{"classes":[{"aimMs":100.0,"deadlineMs":400.0}]}}"#)
            .expect("settings");
    Instance::new(&attach).expect("valid settings")
}

fn bug(text: &str) -> WireAction {
    WireAction::ReportBug { text: text.to_owned() }
}

#[test]
fn panic_is_reported_in_place_of_the_actions_of_its_event() {
    let mut instance = instance();
    let mut wire_actions = Vec::new();

    instance.run_balancer(&mut wire_actions, |_, actions| {
        actions.push(Action::WatchEndpoints);
        panic!("broken invariant");
    });
    instance.run_balancer(&mut wire_actions, |_, _| panic!("broken invariant {}", 2));
    instance.run_balancer(&mut wire_actions, |_, _| std::panic::panic_any(3));

    assert_eq!(
        wire_actions,
        [bug("broken invariant"), bug("broken invariant 2"), bug("panic without a text")]
    );
}

#[test]
fn actions_are_appended_to_those_of_earlier_events() {
    let mut instance = instance();
    let mut wire_actions = vec![bug("earlier")];

    instance.run_balancer(&mut wire_actions, |_, actions| actions.push(Action::WatchEndpoints));

    assert_eq!(wire_actions, [bug("earlier"), WireAction::WatchEndpoints { is_active: true }]);
}
