//! Tests of the gossip message format and of the gossip budget.

use super::*;

fn settings(balancer_count: u32) -> Settings {
    Settings { balancer_count, ..Settings::default() }
}

#[test]
fn a_message_names_its_server() {
    assert_eq!(decode(&encode(ServerId(0x0102_0304))), Some(ServerId(0x0102_0304)));
    assert_eq!(encode(ServerId(0x0102_0304)), [1, 2, 3, 4]);
}

#[test]
fn a_message_of_another_length_names_no_server() {
    for payload in [&[][..], &[1, 2, 3], &[1, 2, 3, 4, 5]] {
        assert_eq!(decode(payload), None, "{payload:?}");
    }
}

#[test]
fn at_most_sixty_four_peers_are_notified_and_no_more_than_there_are() {
    let mut rng = fastrand::Rng::with_seed(1);

    assert_eq!(GossipBudget::new().draw_receivers(&settings(1000), &mut rng).len(), 64);
    assert_eq!(GossipBudget::new().draw_receivers(&settings(10), &mut rng).len(), 9);
}

/// A message has 4 bytes. The initial 512 bytes allow two rounds of 64 messages; the 25 bytes that one
/// request adds then allow 6 more.
#[test]
fn messages_spend_a_budget_that_requests_refill() {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut gossip_budget = GossipBudget::new();
    let mut notified = || gossip_budget.draw_receivers(&settings(1000), &mut rng).len();
    assert_eq!([notified(), notified(), notified()], [64, 64, 0]);

    gossip_budget.refill();

    assert_eq!(gossip_budget.draw_receivers(&settings(1000), &mut rng).len(), 6);
}
