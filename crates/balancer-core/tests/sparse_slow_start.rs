//! Tests of slow start in a sparse view: the share of a warm server's load that a server that is warming up
//! is sent.

mod common;

use balancer_core::*;
use common::*;

const INITIAL_CAPACITY: f64 = 0.25;

/// Settings with which servers stay at their initial capacity.
fn settings_with_endless_warm_up() -> Settings {
    Settings {
        initial_capacity: INITIAL_CAPACITY,
        warm_up_time: Span::from_millis_f64(1e9),
        ..sparse_settings()
    }
}

/// A harness with 40 servers, of which the last 20 have just started.
fn harness_with_half_warming_up(settings: Settings, seed: u64) -> Harness {
    let mut harness = Harness::new(settings, seed);
    let mut endpoints = fleet(40);
    endpoints[20..].iter_mut().for_each(|endpoint| endpoint.started_at = Some(harness.now));
    harness.set_endpoints(endpoints);
    harness
}

/// The capacity share of a server that is warming up was once applied twice, on entering the balancer's
/// memory and at each choice from it: the server got the square of its share, and the warm servers were
/// overloaded.
#[test]
fn warming_up_server_gets_its_capacity_share() {
    let costs = Costs { handshake: 0.08, ..Settings::default().costs };
    let settings = Settings { costs, ..settings_with_endless_warm_up() };
    let mut harness = harness_with_half_warming_up(settings, 16);

    let attempts = serve_successfully(&mut harness, 4000, 20.0);

    let to_warm: u32 = attempts[..20].iter().sum();
    let to_warming_up: u32 = attempts[20..].iter().sum();
    let share = f64::from(to_warming_up) / f64::from(to_warm);
    let expected = 0.7 * INITIAL_CAPACITY..1.4 * INITIAL_CAPACITY;
    assert!(expected.contains(&share), "one that is warming up was sent {share:.2} of a warm one's requests");
}

/// The number of three requests that go to the odd-numbered ones of ten servers, which have just restarted.
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

/// A balancer that remembered it as warm would go on sending it a warm server's share.
#[test]
fn restarted_server_goes_through_slow_start_again() {
    let to_restarted: u32 = (0..60).map(requests_to_restarted_servers).sum();

    assert!((4..36).contains(&to_restarted), "{to_restarted} of 180 to the half that has just started");
}

/// The number of requests sent to servers that are warming up, as a share of those sent to warm servers.
fn share_of_warming_up_servers(warm_ms: f64, warming_up_ms: f64) -> f64 {
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

/// Servers that are warming up were once kept to their guaranteed capacity even if they answered faster than
/// the warm servers that got the rest. If faster, they get more, up to half of what would overload them; if
/// slower, they get no more than before.
#[test]
fn warming_up_servers_faster_than_warm_ones_get_more() {
    let share_if_faster = share_of_warming_up_servers(60.0, 40.0);
    let share_if_slower = share_of_warming_up_servers(40.0, 60.0);

    // 0.56 and 0.13 without the allowance, as a faster server is also more likely to be chosen.
    assert!((0.7..0.9).contains(&share_if_faster), "those that answer sooner got {share_if_faster:.2}");
    assert!((0.1..0.2).contains(&share_if_slower), "those that answer later got {share_if_slower:.2}");
}
