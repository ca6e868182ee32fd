//! Tests of suspicion in a sparse view: gossip about suspected servers, and zones that cannot be reached.

mod common;

use balancer_core::*;
use common::*;

/// Returns settings for a sparse view in which balancers send gossip.
fn gossiping_settings() -> Settings {
    Settings { allows_gossip: true, ..sparse_settings() }
}

/// Returns the contents of the gossip messages that these actions send.
fn gossip_payloads(actions: &[Action]) -> Vec<Vec<u8>> {
    let payload_of = |action: &Action| match action {
        Action::Gossip { payload, .. } => Some(payload.clone()),
        _ => None,
    };
    actions.iter().filter_map(payload_of).collect()
}

/// Returns how many requests 60 new balancers send to a server after a gossip message about the server.
///
/// Each balancer receives the message, and three requests `delay_ms` later. Further requests would show
/// nothing, because a success ends the suspicion.
fn first_requests_after_gossip(server: ServerId, payload: &[u8], delay_ms: f64) -> u32 {
    let requests_with_seed = |seed| {
        let mut harness = Harness::with_endpoints(gossiping_settings(), seed, fleet(10));
        harness.handle(Event::Gossip { from: PeerId(1), payload: payload.to_vec() });
        harness.advance_ms(delay_ms);
        serve_successfully(&mut harness, 3, 20.0)[server.0 as usize]
    };
    (0..60).map(requests_with_seed).sum()
}

/// Without gossip, each balancer would have to lose a request at a silent server before it avoids the server.
#[test]
fn gossip_is_sent_and_acted_on_until_it_expires() {
    let mut harness = Harness::with_endpoints(gossiping_settings(), 6, fleet(10));
    let request = harness.submit_request();
    let silent = request.expect_sent();
    harness.advance_ms(790.0);

    let payloads = gossip_payloads(harness.end_attempt(request.id, FIRST_ATTEMPT, Outcome::TimedOut, 790.0));
    assert!(!payloads.is_empty() && payloads.len() <= 128, "{} peers notified", payloads.len());

    let soon = first_requests_after_gossip(silent, &payloads[0], 0.0);
    let later = first_requests_after_gossip(silent, &payloads[0], 10_000.0);
    assert!(soon <= 4, "{soon} of 180 to a suspected server");
    assert!(later >= 10, "{later} of 180 once the gossip is old");
}

#[test]
fn invalid_gossip_changes_nothing() {
    let mut without_gossip = Harness::with_endpoints(gossiping_settings(), 8, fleet(10));
    let mut with_gossip = Harness::with_endpoints(gossiping_settings(), 8, fleet(10));

    for payload in [vec![], vec![1], vec![0; 300], 77_u32.to_be_bytes().to_vec()] {
        with_gossip.handle(Event::Gossip { from: PeerId(9), payload });
    }

    assert_eq!(
        serve_successfully(&mut without_gossip, 50, 20.0),
        serve_successfully(&mut with_gossip, 50, 20.0)
    );
}

/// If the network link to a zone is down, connecting fails for each server of the zone. After two failed
/// connects, the balancer avoids the whole zone.
#[test]
fn unreachable_zone_is_avoided_after_two_failed_connects() {
    let settings = Settings { max_attempts: 1, ..sparse_settings() };
    let two_zones = Topology { zone_count: 2, cell_count: 1 };
    let mut harness = Harness::with_endpoints(settings, 9, fleet_in(60, two_zones));

    let attempts = serve_with_outcomes(&mut harness, 60, 20.0, |server| match server.0 % 2 {
        1 => Outcome::ConnectFailed,
        _ => Outcome::Success,
    });

    let to_unreachable_zone: u32 = attempts.iter().skip(1).step_by(2).sum();
    assert!(to_unreachable_zone <= 10, "{to_unreachable_zone} of 60 sent to the unreachable zone");
}
