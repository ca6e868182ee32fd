//! Tests of slow start in a sparse view: how many requests a server that is warming up is sent, compared with
//! a warm server.

mod common;

use balancer_core::*;
use common::*;

const INITIAL_CAPACITY: f64 = 0.25;

/// Returns settings with which servers that are warming up stay at their initial capacity.
fn settings_with_endless_warm_up() -> Settings {
    Settings {
        initial_capacity: INITIAL_CAPACITY,
        warm_up_time: Span::from_millis_f64(1e9),
        ..sparse_settings()
    }
}

/// Returns a harness with 40 servers, of which the last 20 have just started.
fn harness_with_half_warming_up(settings: Settings, seed: u64) -> Harness {
    let mut harness = Harness::new(settings, seed);
    let mut endpoints = fleet(40);
    endpoints[20..].iter_mut().for_each(|endpoint| endpoint.started_at = Some(harness.now));
    harness.set_endpoints(endpoints);
    harness
}

/// Guards against a second application of the capacity share to remembered servers.
///
/// A balancer remembers the servers that it chose most recently, and they are candidates for later requests.
/// The capacity share limits how often a server that is warming up is chosen and thus remembered. If the
/// share were applied again to remembered servers, the server would be sent only the square of its share, and
/// the warm servers would be overloaded.
#[test]
fn warming_up_server_gets_its_capacity_share() {
    let costs = Costs { handshake: 0.08, ..Settings::default().costs };
    let settings = Settings { costs, ..settings_with_endless_warm_up() };
    let mut harness = harness_with_half_warming_up(settings, 16);

    let attempts = serve_successfully(&mut harness, 4000, 20.0);

    let to_warm: u32 = attempts[..20].iter().sum();
    let to_warming_up: u32 = attempts[20..].iter().sum();
    let ratio = f64::from(to_warming_up) / f64::from(to_warm);
    let expected = 0.7 * INITIAL_CAPACITY..1.4 * INITIAL_CAPACITY;
    assert!(
        expected.contains(&ratio),
        "a server that is warming up was sent {ratio:.2} times the requests of a warm one"
    );
}

/// Restarts the servers with odd numbers in a fleet of ten, and returns how many of the next three requests
/// go to them.
fn requests_to_restarted_servers(seed: u64) -> u32 {
    let settings = Settings { initial_capacity: 0.1, ..sparse_settings() };
    let mut harness = Harness::with_endpoints(settings, seed, fleet(10));
    serve_successfully(&mut harness, 50, 20.0);
    let started_at = Some(harness.now);
    let odd = fleet(10).into_iter().filter(|endpoint| endpoint.server.0 % 2 == 1);
    let restarted = odd.map(|endpoint| Endpoint { started_at, ..endpoint }).collect();
    harness.handle(Event::Endpoints(EndpointUpdate::Changes(restarted)));
    let attempts_by_server = serve_successfully(&mut harness, 3, 20.0);
    attempts_by_server.iter().skip(1).step_by(2).sum()
}

/// If a balancer still remembered a restarted server, the balancer would go on sending the server as many
/// requests as a warm one.
#[test]
fn restarted_server_goes_through_slow_start_again() {
    let to_restarted: u32 = (0..60).map(requests_to_restarted_servers).sum();

    assert!(
        (4..36).contains(&to_restarted),
        "{to_restarted} of 180 sent to the half of the servers that has restarted"
    );
}

/// Returns the number of requests sent to servers that are warming up, divided by the number sent to warm
/// servers, for these latencies of the warm servers and of those that are warming up.
fn warming_up_request_ratio(warm_ms: f64, warming_up_ms: f64) -> f64 {
    let settings = Settings { overload_factor: 3.0, ..settings_with_endless_warm_up() };
    let mut harness = harness_with_half_warming_up(settings, 17);
    let mut to_warm = 0;
    let mut to_warming_up = 0;
    for _ in 0..4000 {
        let request = harness.submit_request();
        let is_warming_up = request.expect_sent().0 >= 20;
        to_warming_up += u32::from(is_warming_up);
        to_warm += u32::from(!is_warming_up);
        let elapsed_ms = if is_warming_up { warming_up_ms } else { warm_ms };
        harness.advance_ms(elapsed_ms);
        harness.succeed(request.id, elapsed_ms);
    }
    f64::from(to_warming_up) / f64::from(to_warm)
}

/// Servers that are warming up are sent more than their guaranteed capacity share if they respond faster than
/// warm servers, up to half of the load that makes them fail.
///
/// Without this increase, the slower warm servers would be sent these requests. Servers that are warming up
/// and respond more slowly than warm ones are sent no more than their share.
#[test]
fn warming_up_servers_faster_than_warm_ones_get_more() {
    let ratio_if_faster = warming_up_request_ratio(60.0, 40.0);
    let ratio_if_slower = warming_up_request_ratio(40.0, 60.0);

    // Without the increase, the ratios are 0.56 and 0.13, because a faster server is also more likely to be
    // chosen.
    assert!((0.7..0.9).contains(&ratio_if_faster), "ratio {ratio_if_faster:.2} if faster");
    assert!((0.1..0.2).contains(&ratio_if_slower), "ratio {ratio_if_slower:.2} if slower");
}
