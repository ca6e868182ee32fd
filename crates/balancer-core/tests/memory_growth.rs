//! Tests that the memory of a balancer does not grow with the number of requests served.

mod common;

use balancer_core::*;
use common::*;

/// The maximum growth of the resident memory.
const MAX_GROWTH_KIB: u64 = 16 * 1024;

/// Returns the resident memory of this process in KiB; `None` if the system does not report it.
fn resident_kib() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// A balancer and the requests that it serves. Each request has its own routing key and succeeds.
///
/// The tests do not use a [`Harness`], because the records of its rule checker grow with the number of
/// requests.
struct BalancerDriver {
    balancer: Balancer,
    now: Time,
    next_request: u64,
    actions: Vec<Action>,
}

impl BalancerDriver {
    fn new(settings: Settings) -> Self {
        let balancer = Balancer::new(settings, 1).expect("valid settings");
        let now = Time::from_millis(1000);
        let mut driver = BalancerDriver { balancer, now, next_request: 0, actions: Vec::new() };
        driver.balancer.start(now, &mut driver.actions);
        let endpoints = fleet_in(6, Topology { zone_count: 2, cell_count: 2 });
        driver.handle(Event::Endpoints(EndpointUpdate::Complete(endpoints)));
        driver
    }

    fn handle(&mut self, event: Event) {
        self.balancer.handle(self.now, event, &mut self.actions);
    }

    /// Serves requests one after the other.
    fn serve(&mut self, request_count: u64) {
        for _ in 0..request_count {
            self.serve_one();
        }
    }

    /// Submits the next request, asserts that it is sent immediately, and lets it succeed.
    fn serve_one(&mut self) {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        self.now = self.now + Span::from_millis(5);
        self.actions.clear();
        let mut request = Request::new(id, ClassId(0), CLASS_TIMEOUT);
        request.routing_key = Some(RoutingKey(id.0));
        self.handle(Event::Request(request));
        assert!(self.actions.iter().any(is_send), "{id:?} was not sent");
        self.handle(Event::AttemptEnded {
            request: id,
            attempt: FIRST_ATTEMPT,
            outcome: Outcome::Success,
            elapsed: Span::from_millis(20),
            load_report: None,
            is_request_finished: true,
        });
    }
}

#[test]
fn memory_does_not_grow_with_requests_served() {
    let mut driver = BalancerDriver::new(Settings { has_key_affinity: true, ..idempotent_settings() });
    driver.serve(50_000);
    let Some(kib_before) = resident_kib() else { return };

    driver.serve(400_000);

    let growth_kib = resident_kib().expect("reported before").saturating_sub(kib_before);
    assert!(growth_kib < MAX_GROWTH_KIB, "{growth_kib} KiB more after another 400,000 requests");
}
