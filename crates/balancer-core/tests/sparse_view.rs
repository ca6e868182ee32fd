//! Failures found at full size, where balancers outnumber servers and own counts are nearly all zero.

mod common;

use balancer_core::*;
use common::{class, fleet, refused, Rig};

const AIM_MS: f64 = 200.0;

fn settings() -> Settings {
    Settings { balancer_count: 1000, classes: vec![class(Effect::Idempotent)], ..Settings::default() }
}

/// One request after another, each answered in `ms` by the servers that `works`; how often each was sent to.
fn serve(rig: &mut Rig, n: usize, count: u32, ms: f64, ending: impl Fn(ServerId) -> Outcome) -> Vec<u32> {
    let mut sent = vec![0; n];
    for _ in 0..count {
        let (id, mut to) = rig.ask(0);
        let mut attempt = 0;
        while let Some(server) = to {
            sent[server.0 as usize] += 1;
            rig.wait(Span::from_ms(ms));
            rig.answer(id, attempt, ending(server), ms);
            attempt += 1;
            to = rig.sent_to(id);
        }
        rig.wait(Span::from_ms(50.0));
    }
    sent
}

fn all_well(_: ServerId) -> Outcome {
    Outcome::Success
}

/// A fair coin sent machines of half the size as much as the others, and they jammed first.
#[test]
fn load_follows_endpoint_weight() {
    let mut rig = Rig::new(Settings { endpoint_weights: EndpointWeights::Size, ..settings() }, 1);
    let sized = |l: Endpoint| Endpoint { weight: if l.server.0 < 10 { 3.0 } else { 1.0 }, ..l };
    rig.list(fleet(20, 1, 1).into_iter().map(sized).collect());
    let sent = serve(&mut rig, 20, 3000, 20.0, all_well);
    let (large, small) = (sent[..10].iter().sum::<u32>(), sent[10..].iter().sum::<u32>());
    let ratio = f64::from(large) / f64::from(small);
    assert!((2.3..3.7).contains(&ratio), "large machines were sent {ratio:.2} times as much");
}

/// Machines of one listed size and different speed: the kind's answers tell them apart before single servers
/// can.
#[test]
fn load_follows_the_latency_of_a_machine_kind() {
    let mut rig = Rig::new(settings(), 2);
    let lines =
        fleet(100, 1, 1).into_iter().map(|l| Endpoint { machine_kind: MachineKindId(l.server.0 % 2), ..l });
    rig.list(lines.collect());
    let mut sent = [0, 0];
    for _ in 0..600 {
        let (id, to) = rig.ask(0);
        let kind = (to.expect("sent").0 % 2) as usize;
        sent[kind] += 1;
        let ms = [30.0, 90.0][kind];
        rig.wait(Span::from_ms(ms));
        rig.answer(id, 0, Outcome::Success, ms);
    }
    assert!(sent[0] > 2 * sent[1], "the kind that is three times as fast was sent {sent:?}");
    assert!(sent[1] > 5, "the slow kind is not shut out: {sent:?}");
}

/// One request after another, and how many met a connection that was kept; the most that were kept at a time,
/// and how many servers were used.
fn reused(rig: &mut Rig, count: u32) -> (u32, usize, usize) {
    let (mut kept, mut used) = (std::collections::BTreeSet::new(), std::collections::BTreeSet::new());
    let (mut reused, mut most) = (0, 0);
    for _ in 0..count {
        let (id, to) = rig.ask(0);
        let to = to.expect("sent");
        reused += u32::from(!kept.insert(to));
        used.insert(to);
        let mut actions = rig.actions.clone();
        rig.wait(Span::from_ms(20.0));
        actions.extend_from_slice(rig.answer(id, 0, Outcome::Success, 20.0));
        for action in actions {
            if let Action::CloseIdle { server } = action {
                kept.remove(&server);
            }
        }
        assert!(kept.contains(&to), "a remembered server's connection is kept");
        most = most.max(kept.len());
    }
    (reused, most, used.len())
}

/// Kept connections grew to balancers times servers, over the servers' caps.
#[test]
fn only_remembered_servers_keep_their_connections() {
    let mut rig = Rig::new(settings(), 3);
    rig.list(fleet(20, 1, 1));
    let (_, most, _) = reused(&mut rig, 200);
    assert!(most <= 6, "what is remembered no longer keeps none: {most} kept");
}

/// Nearly every request opened a connection, and the handshakes of all balancers jammed the servers.
#[test]
fn costly_handshakes_make_most_requests_reuse_connections() {
    let mut costs = Settings::default().costs;
    costs.handshake = 0.08;
    let mut rig = Rig::new(Settings { costs, ..settings() }, 7);
    rig.list(fleet(100, 1, 1));
    let (reused, _, used) = reused(&mut rig, 500);
    assert!((300..450).contains(&reused), "{reused} of 500 met a kept connection");
    assert!(used > 50, "the draws still range over the fleet: {used} of 100 servers used");
}

/// A jam of the whole fleet never ended: limits per server bind nothing at one visit in many seconds.
#[test]
fn overloaded_fleet_is_sent_little_until_it_recovers() {
    let mut rig = Rig::new(settings(), 4);
    rig.list(fleet(50, 1, 1));
    serve(&mut rig, 50, 60, 2.0 * AIM_MS, |_| Outcome::TimedOut);
    let asked: Vec<_> = (0..200).map(|_| rig.ask(0)).filter(|asked| asked.1.is_some()).collect();
    assert!((1..40).contains(&asked.len()), "{} of 200 sent into a jam", asked.len());
    rig.wait(Span::from_ms(1000.0));
    for (id, _) in asked {
        rig.answer(id, 0, Outcome::TimedOut, 1000.0);
    }
    for _ in 0..1000 {
        let (id, to) = rig.ask(0);
        if to.is_some() {
            rig.wait(Span::from_ms(20.0));
            rig.answer(id, 0, Outcome::Success, 20.0);
        }
    }
    let refusals = (0..50).filter(|_| {
        let (id, _) = rig.ask(0);
        refused(&rig.actions, id)
    });
    assert!(refusals.count() < 10, "it opens again");
}

/// A request turned away by a short queue is no sign of a jam: it goes elsewhere at once.
#[test]
fn single_rejections_do_not_lower_admission() {
    let mut rig = Rig::new(settings(), 5);
    rig.list(fleet(50, 1, 1));
    serve(&mut rig, 50, 200, 20.0, |s| if s.0 < 10 { Outcome::Rejected } else { Outcome::Success });
    let sent = (0..100).filter(|_| rig.ask(0).1.is_some()).count();
    assert!(sent > 90, "{sent} of 100 sent");
}

/// Full servers are the first sign of a jam, seconds before answers are late; heeded only where one request
/// met two of them, it came too late to keep the servers quick.
#[test]
fn frequent_rejections_lower_admission() {
    let mut rig = Rig::new(settings(), 8);
    rig.list(fleet(50, 1, 1));
    let count = std::cell::Cell::new(0);
    serve(&mut rig, 50, 300, 20.0, |_| {
        count.set(count.get() + 1);
        if [0, 2].contains(&(count.get() % 5)) {
            Outcome::Rejected
        } else {
            Outcome::Success
        }
    });
    let sent = (0..100).filter(|_| rig.ask(0).1.is_some()).count();
    assert!((5..60).contains(&sent), "{sent} of 100 sent");
}

/// A server that takes half the aim holds several requests for each core and is about to slow down for long;
/// heeded only from the whole aim on, the level came to rest where slowed servers are never idle enough to
/// recover.
#[test]
fn answers_slower_than_half_the_objective_signal_overload() {
    let mut rig = Rig::new(settings(), 14);
    rig.list(fleet(50, 1, 1));
    serve(&mut rig, 50, 100, 0.6 * AIM_MS, all_well);
    let sent = (0..100).filter(|_| rig.ask(0).1.is_some()).count();
    assert!(sent < 40, "{sent} of 100 sent to servers that take long");
}

/// Waiting for the answer itself lets the jam grow for as long.
#[test]
fn attempt_counts_as_slow_after_half_the_latency_objective() {
    let mut rig = Rig::new(settings(), 15);
    rig.list(fleet(50, 1, 1));
    let waiting = (0..100).filter(|_| rig.ask(0).1.is_some()).count();
    assert!(waiting > 90, "{waiting} of 100 sent while nothing is known");
    rig.wait(Span::from_ms(0.8 * AIM_MS));
    let sent = (0..100).filter(|_| rig.ask(0).1.is_some()).count();
    assert!(sent < 70, "{sent} of 100 sent while as many wait for over half the aim");
}

/// The servers that were left of a fleet were sent all that it had borne, until their answers told of the
/// jam; by then they were slow for long. What comes back, as a whole or from a list that was empty, is let in
/// again.
#[test]
fn shrunken_fleet_is_sent_less_immediately() {
    let mut rig = Rig::new(settings(), 17);
    let admitted = |rig: &mut Rig| (0..200).filter(|_| rig.ask(0).1.is_some()).count();
    rig.list(fleet(100, 1, 1));
    serve(&mut rig, 100, 100, 20.0, all_well);
    rig.list(fleet(40, 1, 1));
    let sent = admitted(&mut rig);
    assert!((50..110).contains(&sent), "{sent} of 200 sent to the 40 servers that are left of 100");
    rig.list(Vec::new());
    rig.list(fleet(100, 1, 1));
    let sent = admitted(&mut rig);
    assert!(sent > 180, "{sent} of 200 sent to the fleet that is back");
}

/// Each of many balancers lost a request to each silent server; now a few bytes tell the others.
#[test]
fn gossip_is_sent_and_heeded_and_expires() {
    let settings = Settings { allows_gossip: true, ..settings() };
    let mut teller = Rig::new(settings.clone(), 6);
    teller.list(fleet(10, 1, 1));
    let (id, to) = teller.ask(0);
    teller.wait(Span::from_ms(790.0));
    let told = teller.answer(id, 0, Outcome::TimedOut, 790.0).to_vec();
    let tell = |a: &Action| match a {
        Action::Gossip { payload, .. } => Some(payload.clone()),
        _ => None,
    };
    let all: Vec<_> = told.iter().filter_map(tell).collect();
    assert!(!all.is_empty() && all.len() <= 128, "{} peers told", all.len());
    let server = to.expect("sent").0 as usize;

    // A good answer of its own clears the doubt, so each of many fresh balancers shows its first few picks
    // only.
    let first_picks = |wait_ms: f64| -> u32 {
        let picks = (0..60).map(|seed| {
            let mut rig = Rig::new(settings.clone(), seed);
            rig.list(fleet(10, 1, 1));
            rig.tell(Event::Gossip { from: PeerId(1), payload: all[0].clone() });
            rig.wait(Span::from_ms(wait_ms));
            serve(&mut rig, 10, 3, 20.0, all_well)[server]
        });
        picks.sum()
    };
    let (fresh, old) = (first_picks(0.0), first_picks(10_000.0));
    assert!(fresh <= 4, "{fresh} of 180 to a server that was spoken of");
    assert!(old >= 10, "{old} of 180 once the news is old");
}

#[test]
fn invalid_gossip_changes_nothing() {
    let settings = Settings { allows_gossip: true, ..settings() };
    let (mut plain, mut told) = (Rig::new(settings.clone(), 8), Rig::new(settings, 8));
    plain.list(fleet(10, 1, 1));
    told.list(fleet(10, 1, 1));
    for payload in [vec![], vec![1], vec![0; 300], 77_u32.to_be_bytes().to_vec()] {
        told.tell(Event::Gossip { from: PeerId(9), payload });
    }
    assert_eq!(serve(&mut plain, 10, 50, 20.0, all_well), serve(&mut told, 10, 50, 20.0, all_well));
}

/// Behind a cut link every server fails to connect, one after another; two failures tell of the zone.
#[test]
fn cut_zone_is_avoided_after_two_failed_connects() {
    let mut rig = Rig::new(Settings { max_attempts: 1, ..settings() }, 9);
    rig.list(fleet(60, 2, 1));
    let cut = |s: ServerId| if s.0 % 2 == 1 { Outcome::ConnectFailed } else { Outcome::Success };
    let sent = serve(&mut rig, 60, 60, 20.0, cut);
    let far: u32 = sent.iter().skip(1).step_by(2).sum();
    assert!(far <= 10, "{far} of 60 sent over the cut link");
}

fn asking() -> Settings {
    Settings {
        allows_health_checks: true,
        load_report_source: LoadReportSource::HealthChecks,
        load_report_fields: vec![LoadReportField::Utilisation, LoadReportField::InFlight],
        ..settings()
    }
}

fn probed(rig: &Rig) -> Vec<ServerId> {
    let server = |a: &Action| match a {
        Action::CheckHealth { server } => Some(*server),
        _ => None,
    };
    rig.actions.iter().filter_map(server).collect()
}

fn report(rig: &mut Rig, server: ServerId, held: f64) -> Option<ServerId> {
    let report = Some(vec![0.5, held]);
    let elapsed = Span::from_ms(1.0);
    let actions =
        rig.tell(Event::HealthChecked { server, outcome: Outcome::Success, elapsed, load_report: report });
    actions.iter().find_map(|a| match a {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    })
}

/// A third of the answers were late by chance alone, own counts being all zero.
#[test]
fn cheap_load_polls_find_the_least_loaded_candidate() {
    let mut rig = Rig::new(asking(), 10);
    rig.list(fleet(20, 1, 1));
    let (_, sent) = rig.ask(0);
    assert_eq!(sent, None, "it waits for its candidates");
    let candidates = probed(&rig);
    assert!(candidates.len() >= 2, "{candidates:?}");
    let mut sent = None;
    for (i, &server) in candidates.iter().enumerate() {
        sent = report(&mut rig, server, if i == 1 { 0.0 } else { 4.0 });
        assert_eq!(sent.is_some(), i + 1 == candidates.len(), "sent with the last report");
    }
    assert_eq!(sent, Some(candidates[1]));
    rig.assert_rules();
}

#[test]
fn silent_poll_candidate_is_neither_awaited_nor_chosen() {
    let mut rig = Rig::new(asking(), 11);
    rig.list(fleet(20, 1, 1));
    let (id, _) = rig.ask(0);
    let candidates = probed(&rig);
    report(&mut rig, candidates[0], 3.0);
    let actions = rig.wait(Span::from_ms(0.06 * AIM_MS));
    assert_eq!(common::sent_in(&actions, id), Some(candidates[0]));
    let (id, _) = rig.ask(0);
    let actions = rig.wait(Span::from_ms(0.06 * AIM_MS));
    assert!(common::sent_in(&actions, id).is_some(), "with no report at all it is sent all the same");
}

#[test]
fn costly_or_useless_load_polls_are_not_sent() {
    let dear = Costs { health_check: 0.01, ..Costs::default() };
    for settings in [
        Settings { costs: dear, ..asking() },
        Settings { load_report_fields: vec![LoadReportField::Utilisation], ..asking() },
        Settings { allows_health_checks: false, ..asking() },
        Settings { balancer_count: 10, ..asking() },
    ] {
        let mut rig = Rig::new(settings, 12);
        rig.list(fleet(20, 1, 1));
        assert!(rig.ask(0).1.is_some());
        assert!(probed(&rig).is_empty());
    }
}

/// An empty cold server would win every pick it is asked in, at all balancers at once.
#[test]
fn idle_warming_up_server_does_not_attract_requests() {
    for settings in [settings(), asking()] {
        let mut rig = Rig::new(settings, 13);
        let mut lines = fleet(10, 1, 1);
        lines[9].started_at = Some(rig.now);
        rig.list(lines);
        let (mut cold, mut all) = (0, 0);
        for _ in 0..400 {
            let (id, mut to) = rig.ask(0);
            for server in probed(&rig) {
                to = to.or(report(&mut rig, server, if server.0 == 9 { 0.0 } else { 2.0 }));
            }
            let to = to.expect("sent");
            cold += u32::from(to.0 == 9);
            all += 1;
            rig.answer(id, 0, Outcome::Success, 20.0);
            rig.wait(Span::from_ms(2.0));
        }
        assert!(cold <= all / 20, "{cold} of {all} to one cold server of ten");
    }
}

/// A cold server that had passed to be remembered had to pass again at each pick from the memory: it got the
/// square of its part, while the warm ones that were left of a fleet jammed.
#[test]
fn warming_up_server_gets_its_capacity_share() {
    const COLD: f64 = 0.25;
    let costs = Costs { handshake: 0.08, ..Settings::default().costs };
    let warm_up_time = Span::from_ms(1e9);
    let mut rig = Rig::new(Settings { initial_capacity: COLD, warm_up_time, costs, ..settings() }, 16);
    let mut lines = fleet(40, 1, 1);
    let start = rig.now;
    lines[20..].iter_mut().for_each(|l| l.started_at = Some(start));
    rig.list(lines);
    let sent = serve(&mut rig, 40, 4000, 20.0, all_well);
    let part = f64::from(sent[20..].iter().sum::<u32>()) / f64::from(sent[..20].iter().sum::<u32>());
    assert!(
        (0.7 * COLD..1.4 * COLD).contains(&part),
        "a cold server was sent {part:.2} of a warm one's requests"
    );
}

/// Remembered as it was, it would go on being sent a warm one's share by all that remember it.
#[test]
fn restarted_server_goes_through_slow_start_again() {
    let mut cold = 0;
    for seed in 0..60 {
        let mut rig = Rig::new(Settings { initial_capacity: 0.1, ..settings() }, seed);
        rig.list(fleet(10, 1, 1));
        serve(&mut rig, 10, 50, 20.0, all_well);
        let started_at = Some(rig.now);
        let lines = fleet(10, 1, 1).into_iter().filter(|l| l.server.0 % 2 == 1);
        rig.tell(Event::Endpoints(EndpointUpdate::Changes(
            lines.map(|l| Endpoint { started_at, ..l }).collect(),
        )));
        cold += serve(&mut rig, 10, 3, 20.0, all_well).iter().skip(1).step_by(2).sum::<u32>();
    }
    assert!((4..36).contains(&cold), "{cold} of 180 to the half that has just started");
}

/// Cold servers were held to what they surely bear while they answered sooner than the warm ones that bore
/// the rest. They get more then, up to half of what would push them over, and no more than before where they
/// answer later.
#[test]
fn warming_up_servers_faster_than_warm_ones_get_more() {
    const COLD: f64 = 0.25;
    let mut parts = Vec::new();
    for (warm_ms, cold_ms) in [(60.0, 40.0), (40.0, 60.0)] {
        let rules = Settings {
            initial_capacity: COLD,
            warm_up_time: Span::from_ms(1e9),
            overload_factor: 3.0,
            ..settings()
        };
        let mut rig = Rig::new(rules, 17);
        let mut lines = fleet(40, 1, 1);
        let start = rig.now;
        lines[20..].iter_mut().for_each(|l| l.started_at = Some(start));
        rig.list(lines);
        let mut sent = [0, 0];
        for _ in 0..4000 {
            let (id, to) = rig.ask(0);
            let cold = to.expect("sent").0 >= 20;
            sent[usize::from(cold)] += 1;
            let ms = if cold { cold_ms } else { warm_ms };
            rig.wait(Span::from_ms(ms));
            rig.answer(id, 0, Outcome::Success, ms);
        }
        parts.push(f64::from(sent[1]) / f64::from(sent[0]));
    }
    // 0.56 and 0.13 without it, as a quicker server is also the likelier pick.
    assert!(
        (0.7..0.9).contains(&parts[0]),
        "those that answer sooner were sent {:.2} of the others' part",
        parts[0]
    );
    assert!(
        (0.1..0.2).contains(&parts[1]),
        "those that answer later were sent {:.2} of the others' part",
        parts[1]
    );
}

/// A server that a neighbour slows holds no more of the balancer's own requests than others do, so it stayed
/// remembered and was sent more than its share. Where all are slow it stays, or every request would open a
/// connection.
#[test]
fn relatively_slow_server_is_not_remembered() {
    for (others, kept) in [(20.0, false), (120.0, true)] {
        let mut rig = Rig::new(settings(), 18);
        rig.list(fleet(20, 1, 1));
        serve(&mut rig, 20, 200, others, all_well);
        let mut seen = 0;
        while seen < 5 {
            let (id, to) = rig.ask(0);
            // Where all are slow most are refused.
            let Some(to) = to else { continue };
            let ms = if to.0 == 3 { 120.0 } else { others };
            let mut actions = rig.wait(Span::from_ms(ms));
            actions.extend_from_slice(rig.answer(id, 0, Outcome::Success, ms));
            if to.0 == 3 {
                seen += 1;
                assert_eq!(
                    !actions.contains(&Action::CloseIdle { server: to }),
                    kept,
                    "others take {others} ms"
                );
            }
        }
    }
}

/// The admission probability was the same for all classes, so in a jam as much was refused of what is worth
/// most.
#[test]
fn class_that_costs_the_goal_least_is_shed_first() {
    let weighted = |priority_weight| RequestClass { priority_weight, ..class(Effect::Idempotent) };
    let goal = GoalWeights { overall: 0.8, worst_window: 0.0, worst_class: 0.2, worst_tenant: 0.0 };
    for (weights, first) in [([10.0, 30.0], true), ([10.0, 10.0], false)] {
        let classes = weights.map(weighted).to_vec();
        let mut rig = Rig::new(Settings { classes, goal: goal.clone(), ..settings() }, 19);
        rig.list(fleet(50, 1, 1));
        // Two answers of seven are slow: the jam is neither over nor complete.
        for i in 0..600 {
            let (id, to) = rig.ask(i % 2);
            let ms = if i % 7 < 2 { 0.6 * AIM_MS } else { 20.0 };
            rig.wait(Span::from_ms(ms));
            if to.is_some() {
                rig.answer(id, 0, Outcome::Success, ms);
            }
        }
        // In one instant, so that nothing is learned meanwhile.
        let mut sent = [0, 0];
        for i in 0..2000 {
            sent[i % 2] += u32::from(rig.ask(i % 2).1.is_some());
        }
        let [low, high] = sent.map(|n| f64::from(n) / 1000.0);
        assert!((0.2..0.9).contains(&(0.5 * (low + high))), "{low:.2} and {high:.2}: no jam");
        if first {
            assert!(
                high > 1.4 * low,
                "{low:.2} of the one, {high:.2} of the other that is worth thrice as much"
            );
            assert!(low > 0.2 * (low + high), "{low:.2} and {high:.2}: the one is shut out");
        } else {
            assert!(
                (0.85..1.15).contains(&(high / low)),
                "{low:.2} and {high:.2} of classes that are worth alike"
            );
        }
    }
}
