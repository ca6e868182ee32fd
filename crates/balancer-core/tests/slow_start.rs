//! Tests of slow start: a server that is warming up is sent at most its capacity share of a warm server's
//! load.

mod common;

use balancer_core::*;
use common::*;

/// The latency of every attempt.
const LATENCY_MS: f64 = 20.0;

/// Returns settings of one of three balancers, with which servers take up to ten seconds to warm up.
fn settings() -> Settings {
    Settings {
        initial_capacity: 0.2,
        warm_up_time: Span::from_secs(10),
        overload_factor: 2.5,
        overload_window: Span::from_millis(1500),
        balancer_count: 3,
        ..idempotent_settings()
    }
}

/// Returns a fleet whose servers all started at `started_at`.
fn warming_up_fleet(server_count: u32, started_at: Time) -> Vec<Endpoint> {
    let warming_up = |endpoint| Endpoint { started_at: Some(started_at), ..endpoint };
    fleet(server_count).into_iter().map(warming_up).collect()
}

/// Requests that are submitted at a constant rate.
struct SteadyLoad {
    requests_per_s: f64,
    duration_ms: f64,
    /// The server whose requests are counted.
    counted_server: ServerId,
}

/// The numbers of requests that were sent immediately.
#[derive(Debug, Default)]
struct SendCounts {
    to_counted_server: u32,
    total: u32,
}

/// A request that has been sent, and when its attempt ends.
struct InFlightRequest {
    id: RequestId,
    ends_at: Time,
}

impl SteadyLoad {
    /// Submits the requests. Each request that is sent immediately succeeds after [`LATENCY_MS`].
    fn run(&self, harness: &mut Harness) -> SendCounts {
        let mut counts = SendCounts::default();
        let mut in_flight: Vec<InFlightRequest> = Vec::new();
        let end = harness.now + Span::from_millis_f64(self.duration_ms);
        while harness.now < end {
            let request = harness.submit_request();
            if let Some(server) = request.server {
                counts.total += 1;
                counts.to_counted_server += u32::from(server == self.counted_server);
                let ends_at = harness.now + Span::from_millis_f64(LATENCY_MS);
                in_flight.push(InFlightRequest { id: request.id, ends_at });
            }
            harness.advance_ms(1000.0 / self.requests_per_s);
            let now = harness.now;
            let (ended, remaining): (Vec<_>, Vec<_>) =
                in_flight.into_iter().partition(|request| request.ends_at <= now);
            in_flight = remaining;
            succeed_all(harness, ended);
        }
        succeed_all(harness, in_flight);
        counts
    }
}

/// Ends the attempts of these requests with success.
fn succeed_all(harness: &mut Harness, requests: Vec<InFlightRequest>) {
    for request in requests {
        harness.succeed(request.id, LATENCY_MS);
    }
}

/// Returns a load of 200 requests per second, of which those to server 5 are counted.
fn load_on_six_servers(duration_ms: f64) -> SteadyLoad {
    SteadyLoad { requests_per_s: 200.0, duration_ms, counted_server: ServerId(5) }
}

#[test]
fn warming_up_server_gets_its_share_of_a_warm_servers_load() {
    let mut harness = Harness::new(settings(), 4);
    let mut endpoints = fleet(6);
    endpoints[5].started_at = Some(harness.now);
    harness.set_endpoints(endpoints);

    let at_first = load_on_six_servers(1500.0).run(&mut harness);
    load_on_six_servers(8600.0).run(&mut harness);
    let once_warm = load_on_six_servers(1500.0).run(&mut harness);

    let warming_up = at_first.to_counted_server;
    let warm_average = f64::from(at_first.total - warming_up) / 5.0;
    assert!(
        f64::from(warming_up) <= 0.5 * warm_average,
        "{warming_up} sent to the server that is warming up, {warm_average} to a warm one"
    );
    assert!(warming_up >= 1, "the server is sent some requests");
    let average = f64::from(once_warm.total) / 6.0;
    assert!(f64::from(once_warm.to_counted_server) > 0.5 * average, "the server is warm: {once_warm:?}");
    harness.assert_no_violations();
}

#[test]
fn restart_during_slow_start_restarts_slow_start() {
    let mut harness = Harness::new(settings(), 4);
    let mut endpoints = fleet(6);
    endpoints[5].started_at = Some(harness.now);
    harness.set_endpoints(endpoints.clone());
    load_on_six_servers(8000.0).run(&mut harness);

    endpoints[5].started_at = Some(harness.now);
    harness.handle(Event::Endpoints(EndpointUpdate::Changes(vec![endpoints[5].clone()])));
    let counts = load_on_six_servers(1000.0).run(&mut harness);

    let warm_average = f64::from(counts.total - counts.to_counted_server) / 5.0;
    assert!(f64::from(counts.to_counted_server) <= 0.5 * warm_average, "{counts:?}");
    harness.assert_no_violations();
}

#[test]
fn single_server_or_whole_fleet_that_is_warming_up_still_serves() {
    for server_count in [1, 4] {
        let mut harness = Harness::new(settings(), 4);
        harness.set_endpoints(warming_up_fleet(server_count, harness.now));

        let load = SteadyLoad { requests_per_s: 20.0, duration_ms: 1000.0, counted_server: ServerId(0) };
        let counts = load.run(&mut harness);

        assert!(counts.total > 10, "{} sent", counts.total);
        harness.assert_no_violations();
    }
}

/// Until its servers have responded to requests, a fleet that is warming up must not be sent all requests
/// that arrive.
#[test]
fn fleet_that_is_all_warming_up_is_sent_few_requests_before_it_responds() {
    let mut harness = Harness::new(settings(), 4);
    harness.set_endpoints(warming_up_fleet(4, harness.now));

    let sent_count = harness.submit_burst(200).len();

    assert!(sent_count <= 8, "{sent_count} sent at once to four servers at a fifth of their capacity");
}

/// A server without a start time is warm, even if the clock starts near the epoch.
#[test]
fn clock_near_zero_puts_no_server_in_slow_start() {
    let mut balancer = Balancer::new(settings(), 1).expect("valid settings");
    let mut actions = Vec::new();
    balancer.start(Time::EPOCH, &mut actions);
    let endpoints = Event::Endpoints(EndpointUpdate::Complete(fleet(2)));
    balancer.handle(Time::from_micros(1), endpoints, &mut actions);

    for number in 0..4 {
        let request = Request::new(RequestId(number), ClassId(0), CLASS_TIMEOUT);
        balancer.handle(Time::from_micros(2), Event::Request(request), &mut actions);
    }

    assert_eq!(actions.iter().filter(|action| is_send(action)).count(), 4);
}
