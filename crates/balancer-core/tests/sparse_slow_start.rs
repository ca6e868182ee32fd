//! Tests of slow start in a sparse view: the part of a warm server's load that a server is sent while it is
//! warming up.

mod common;

use balancer_core::*;
use common::*;

const INITIAL_CAPACITY: f64 = 0.25;

/// Settings under which servers stay at their initial capacity.
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
    let mut endpoints = fleet(40, 1, 1);
    endpoints[20..].iter_mut().for_each(|endpoint| endpoint.started_at = Some(harness.now));
    harness.set_endpoints(endpoints);
    harness
}

/// A server that was warming up and had passed to be remembered had to pass again at each choice from the
/// memory: it got the square of its part, while the warm ones that were left of a fleet were overloaded.
#[test]
fn warming_up_server_gets_its_capacity_share() {
    let costs = Costs { handshake: 0.08, ..Settings::default().costs };
    let settings = Settings { costs, ..settings_with_endless_warm_up() };
    let mut harness = harness_with_half_warming_up(settings, 16);

    let attempts = serve_well(&mut harness, 40, 4000, 20.0);

    let to_warm: u32 = attempts[..20].iter().sum();
    let to_warming_up: u32 = attempts[20..].iter().sum();
    let part = f64::from(to_warming_up) / f64::from(to_warm);
    let expected = 0.7 * INITIAL_CAPACITY..1.4 * INITIAL_CAPACITY;
    assert!(expected.contains(&part), "one that is warming up was sent {part:.2} of a warm one's requests");
}

/// Requests to the odd servers of ten, just after these have restarted.
fn requests_to_restarted_servers(seed: u64) -> u32 {
    let settings = Settings { initial_capacity: 0.1, ..sparse_settings() };
    let mut harness = Harness::with_endpoints(settings, seed, fleet(10, 1, 1));
    serve_well(&mut harness, 10, 50, 20.0);
    let started_at = Some(harness.now);
    let odd = fleet(10, 1, 1).into_iter().filter(|endpoint| endpoint.server.0 % 2 == 1);
    let restarted = odd.map(|endpoint| Endpoint { started_at, ..endpoint }).collect();
    harness.handle(Event::Endpoints(EndpointUpdate::Changes(restarted)));
    let attempts = serve_well(&mut harness, 10, 3, 20.0);
    attempts.iter().skip(1).step_by(2).sum()
}

/// Remembered as it was, it would go on being sent a warm one's share by all that remember it.
#[test]
fn restarted_server_goes_through_slow_start_again() {
    let to_restarted: u32 = (0..60).map(requests_to_restarted_servers).sum();

    assert!((4..36).contains(&to_restarted), "{to_restarted} of 180 to the half that has just started");
}

/// What servers that are warming up are sent, as a part of what warm ones are sent.
fn part_of_warming_up(warm_ms: f64, warming_up_ms: f64) -> f64 {
    let settings = Settings { overload_factor: 3.0, ..settings_with_endless_warm_up() };
    let mut harness = harness_with_half_warming_up(settings, 17);
    let (mut to_warm, mut to_warming_up) = (0, 0);
    for _ in 0..4000 {
        let request = harness.send_request(0);
        let is_warming_up = request.server.expect("sent").0 >= 20;
        *(if is_warming_up { &mut to_warming_up } else { &mut to_warm }) += 1;
        let elapsed_ms = if is_warming_up { warming_up_ms } else { warm_ms };
        harness.advance_ms(elapsed_ms);
        harness.succeed(request.id, elapsed_ms);
    }
    f64::from(to_warming_up) / f64::from(to_warm)
}

/// Servers that were warming up were held to what they surely bear while they answered sooner than the warm
/// ones that bore the rest. They get more then, up to half of what would push them over, and no more than
/// before where they answer later.
#[test]
fn warming_up_servers_faster_than_warm_ones_get_more() {
    let part_of_faster = part_of_warming_up(60.0, 40.0);
    let part_of_slower = part_of_warming_up(40.0, 60.0);

    // 0.56 and 0.13 without it, as a quicker server is also the likelier choice.
    assert!((0.7..0.9).contains(&part_of_faster), "those that answer sooner got {part_of_faster:.2}");
    assert!((0.1..0.2).contains(&part_of_slower), "those that answer later got {part_of_slower:.2}");
}
