//! Tests of which attempts are overdue.

use super::*;
use crate::{AttemptNumber, ClassId, Endpoint, Outcome, RequestClass, ServerId};

const START: Time = Time::from_millis(1_000);
const CLASS: ClassId = ClassId(0);

/// A server with attempts in flight, of a class with a latency objective of 100 ms and a typical latency of
/// 20 ms.
struct Scenario {
    settings: Settings,
    fleet: ServerRegistry,
    server: ServerIndex,
    in_flight: AttemptsInFlight,
}

impl Scenario {
    fn with_attempts(count: u64) -> Self {
        let class = RequestClass {
            latency_objective: Span::from_millis(100),
            timeout: Span::from_millis(400),
            ..RequestClass::default()
        };
        let settings = Settings { classes: vec![class], ..Settings::default() };
        let mut fleet = ServerRegistry::new();
        fleet.update(START, vec![Endpoint::serving(ServerId(1))], true);
        let server = fleet.find(ServerId(1)).expect("the server is listed");
        fleet[server].in_flight = count as u32;
        let mut in_flight = AttemptsInFlight::default();
        for number in 0..count {
            let id = AttemptId { request: RequestId(number), attempt: AttemptNumber(0) };
            let attempt = InFlightAttempt {
                server,
                class: CLASS,
                sent_at: START,
                response_progress_at: None,
                is_probe: false,
                is_counted_slow: false,
            };
            in_flight.insert(id, attempt);
        }
        Scenario { settings, fleet, server, in_flight }
    }

    /// Records that a part of the first attempt's response arrives.
    fn receive_response_part_after(&mut self, millis: u64) {
        let first = AttemptId { request: RequestId(0), attempt: AttemptNumber(0) };
        let attempt = self.in_flight.get_mut(first).expect("the attempt is in flight");
        attempt.response_progress_at = Some(START + Span::from_millis(millis));
    }

    fn overdue_after(&self, millis: u64) -> Vec<OverdueAttempt> {
        let search = OverdueSearch {
            now: START + Span::from_millis(millis),
            settings: &self.settings,
            fleet: &self.fleet,
            latency: &FleetLatency::new(1),
            requests: &BTreeMap::new(),
        };
        search.find(&self.in_flight)
    }
}

#[test]
fn attempts_are_overdue_after_four_times_the_typical_latency() {
    let scenario = Scenario::with_attempts(2);

    assert_eq!(scenario.overdue_after(80).len(), 0);
    assert_eq!(scenario.overdue_after(81).len(), 2);
}

#[test]
fn an_attempt_alone_on_its_server_is_overdue_after_the_whole_objective() {
    let scenario = Scenario::with_attempts(1);

    assert_eq!(scenario.overdue_after(100).len(), 0);
    assert_eq!(scenario.overdue_after(101).len(), 1);
}

#[test]
fn a_server_is_silent_until_it_responds() {
    let mut scenario = Scenario::with_attempts(2);
    scenario.fleet[scenario.server].health.record(START + Span::from_millis(10), Outcome::Rejected);

    let overdue = scenario.overdue_after(200);

    assert_eq!(overdue.len(), 2, "the latency of the server is low");
    assert!(overdue.iter().all(|attempt| !attempt.is_server_silent));
}

#[test]
fn attempts_are_marked_slow_once_after_half_the_objective() {
    let mut scenario = Scenario::with_attempts(3);
    let mut marked_after = |millis| {
        mark_slow_attempts(&mut scenario.in_flight, &scenario.settings, START + Span::from_millis(millis))
    };

    assert_eq!(marked_after(50), 0);
    assert_eq!(marked_after(51), 3);
    assert_eq!(marked_after(52), 0);
}

#[test]
fn an_attempt_whose_response_is_arriving_slowly_is_not_overdue() {
    let mut scenario = Scenario::with_attempts(1);
    for part in 1..10 {
        scenario.receive_response_part_after(part * 200);
        assert_eq!(scenario.overdue_after(part * 200 + 200).len(), 0);
    }
    assert_eq!(scenario.overdue_after(1_800 + 201).len(), 1, "the response has stopped");
}
