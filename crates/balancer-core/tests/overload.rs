//! Tests that overload does not lead to collapse: no late answers, standing queues or retry storms, and
//! rejections that fall on what is worth least.

mod common;

use balancer_core::*;
use common::*;
use std::collections::{BTreeMap, BTreeSet};

fn settings() -> Settings {
    Settings { max_attempts: 6, ..idempotent_settings() }
}

fn harness(server_count: u32) -> Harness {
    Harness::with_endpoints(settings(), 1, fleet(server_count, 1, 1))
}

/// Requests by what became of them at first.
struct Backlog {
    sent: Vec<RequestId>,
    queued: Vec<RequestId>,
}

/// Sends requests, one a millisecond, until many are queued.
fn fill_queue(harness: &mut Harness, request_count: u32) -> Backlog {
    let mut backlog = Backlog { sent: Vec::new(), queued: Vec::new() };
    for _ in 0..request_count {
        harness.advance_ms(1.0);
        let request = harness.send_request(0);
        let list = if request.is_sent() { &mut backlog.sent } else { &mut backlog.queued };
        list.push(request.id);
    }
    backlog
}

/// First come first served would make every queued request late.
#[test]
fn queued_requests_are_sent_newest_first() {
    let mut harness = harness(1);
    let Backlog { sent, queued } = fill_queue(&mut harness, 12);
    assert!(!sent.is_empty() && queued.len() > 4);

    harness.succeed(sent[0], 20.0);

    let newest = *queued.last().expect("some are queued");
    assert!(harness.target_of(newest).is_some());
    assert!(harness.target_of(queued[0]).is_none());
}

#[test]
fn queued_requests_are_rejected_before_their_objective_passes() {
    let mut harness = harness(1);
    let queued_count = fill_queue(&mut harness, 12).queued.len();
    let start = harness.now;
    let objective = Span::from_millis(200);

    let mut rejection_count = 0;
    while harness.now.since(start) < objective && rejection_count < queued_count {
        let actions = harness.advance_ms(10.0);
        rejection_count += actions.iter().filter(|action| matches!(action, Action::Reject { .. })).count();
    }

    assert_eq!(rejection_count, queued_count);
    assert!(harness.now.since(start) < objective, "in time for the client's next try");
}

/// Sends requests until one is queued, then answers all after `elapsed_ms`; how many were sent at once.
fn fill_and_answer(harness: &mut Harness, elapsed_ms: f64) -> usize {
    let mut sent = Vec::new();
    let queued = loop {
        let request = harness.send_request(0);
        if !request.is_sent() {
            break request.id;
        }
        sent.push(request.id);
    };
    let sent_count = sent.len();
    harness.advance_ms(elapsed_ms);
    let mut target_of_queued = None;
    for id in sent {
        target_of_queued = target_of_queued.or(find_target(harness.succeed(id, elapsed_ms), queued));
    }
    if target_of_queued.is_some() {
        harness.succeed(queued, elapsed_ms);
    }
    harness.advance_ms(250.0);
    sent_count
}

#[test]
fn late_answers_lower_concurrency_and_quick_answers_restore_it() {
    let mut harness = harness(2);

    let before = fill_and_answer(&mut harness, 20.0);
    for _ in 0..10 {
        fill_and_answer(&mut harness, 210.0);
    }
    let after_late_answers = fill_and_answer(&mut harness, 210.0);
    for _ in 0..60 {
        fill_and_answer(&mut harness, 15.0);
    }
    let after_quick_answers = fill_and_answer(&mut harness, 15.0);

    assert!(after_late_answers < before, "{after_late_answers} after late answers, {before} before");
    assert!(after_quick_answers > after_late_answers + 2, "limits must grow again, from one and a half too");
}

/// Limits that grew past what was in use let a burst fill every server at once, and the fleet choked on it.
#[test]
fn concurrency_limit_not_in_full_use_does_not_grow() {
    let mut harness = harness(1);
    for _ in 0..400 {
        let pair = [harness.send_request(0), harness.send_request(0)];
        harness.advance_ms(20.0);
        for request in pair {
            harness.succeed(request.id, 20.0);
        }
    }

    let sent_count = harness.send_burst(20).len();

    assert!((2..=3).contains(&sent_count), "{sent_count} sent at once, two were in use");
}

/// An attempt rejected by a full server must not go round the fleet at once, again and again.
#[test]
fn full_servers_are_left_alone_for_a_while() {
    let mut harness = harness(3);
    let mut send_count = 0;
    let mut next_attempts: BTreeMap<RequestId, u32> = BTreeMap::new();

    for _ in 0..200 {
        harness.send_request(0);
        let mut pending_actions = harness.actions.clone();
        pending_actions.extend(harness.advance_ms(5.0));
        while let Some(action) = pending_actions.pop() {
            if let Action::Send { request, .. } = action {
                send_count += 1;
                let attempt = next_attempts.entry(request).or_insert(0);
                let actions = harness.end_attempt(request, *attempt, Outcome::Rejected, 1.0);
                pending_actions.extend_from_slice(actions);
                *attempt += 1;
            }
        }
    }
    harness.advance_ms(300.0);

    assert!(send_count < 120, "{send_count} attempts for 200 requests to full servers");
    harness.assert_no_violations();
}

/// How many of 300 requests one of some balancers sends to a server that answers late.
fn sends_to_late_server(balancer_count: u32) -> u32 {
    let settings = Settings { balancer_count, ..settings() };
    let mut harness = Harness::with_endpoints(settings, 1, fleet(1, 1, 1));
    let mut send_count = 0;
    for _ in 0..300 {
        let request = harness.send_request(0);
        harness.advance_ms(250.0);
        if request.is_sent() {
            send_count += 1;
            harness.succeed(request.id, 250.0);
        }
    }
    send_count
}

/// Limits of one request each from many balancers are still a crowd.
#[test]
fn concurrency_limits_fall_below_one_with_many_balancers() {
    let alone = sends_to_late_server(1);
    let among_twenty = sends_to_late_server(20);

    assert!(among_twenty * 3 < alone, "{among_twenty} sends beside twenty others, {alone} alone");
}

/// A client's retry is known by its unusual timeout; when its objective has passed, serving it is wasted.
#[test]
fn client_retry_past_its_latency_objective_is_rejected() {
    let mut harness = harness(9);
    let mut is_sent = |number: u64, time_left_ms: f64| {
        let id = RequestId(1000 + number);
        let request = Request::new(id, ClassId(0), Span::from_millis_f64(time_left_ms));
        harness.handle(Event::Request(request)).iter().any(is_send)
    };

    for number in 0..10 {
        assert!(is_sent(number, 500.0), "first tries of a class wait alike, here for 500 of 800 ms");
    }
    assert!(is_sent(10, 700.0), "100 ms spent: half of the objective is left");
    assert!(!is_sent(11, 580.0), "220 ms spent: past the objective of 200");
}

/// Whose requests are counted together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RequestGroup {
    class: ClassId,
    tenant: Option<TenantId>,
}

impl RequestGroup {
    fn of(request: &Request) -> Self {
        RequestGroup { class: request.class, tenant: request.tenant }
    }
}

#[derive(Debug, Default)]
struct Tally {
    offered: u32,
    served: u32,
}

impl Tally {
    fn served_share(&self) -> f64 {
        f64::from(self.served) / f64::from(self.offered)
    }
}

/// A request without a final answer.
struct OpenRequest {
    request: Request,
    /// None while it has not been sent.
    answered_at: Option<Time>,
}

/// More traffic than a fleet of two servers bears.
struct OverloadedService {
    harness: Harness,
    open: Vec<OpenRequest>,
    tallies: BTreeMap<RequestGroup, Tally>,
}

impl OverloadedService {
    /// Offers 6000 requests, one every 2 ms; the served share of each group.
    fn served_shares(settings: Settings, request: impl Fn(u32) -> Request) -> Vec<f64> {
        let harness = Harness::with_endpoints(settings, 3, fleet(2, 1, 1));
        let mut service = OverloadedService { harness, open: Vec::new(), tallies: BTreeMap::new() };
        for number in 0..6000 {
            service.offer(request(number));
        }
        service.tallies.values().map(Tally::served_share).collect()
    }

    fn offer(&mut self, request: Request) {
        self.tallies.entry(RequestGroup::of(&request)).or_default().offered += 1;
        let mut actions = self.harness.handle(Event::Request(request.clone())).to_vec();
        self.open.push(OpenRequest { request, answered_at: None });
        actions.extend(self.harness.advance_ms(2.0));
        actions.extend(self.answer_due());
        for action in actions {
            self.note_send(&action);
        }
    }

    fn answer_due(&mut self) -> Vec<Action> {
        let now = self.harness.now;
        let is_due = |open: &&OpenRequest| open.answered_at.is_some_and(|at| at <= now);
        let due: Vec<RequestId> = self.open.iter().filter(is_due).map(|open| open.request.id).collect();
        let mut actions = Vec::new();
        for id in due {
            actions.extend_from_slice(self.harness.succeed(id, 40.0));
            let position = self.open.iter().position(|open| open.request.id == id);
            let answered = self.open.swap_remove(position.expect("it is open"));
            let tally = self.tallies.get_mut(&RequestGroup::of(&answered.request));
            tally.expect("it was counted").served += 1;
        }
        actions
    }

    fn note_send(&mut self, action: &Action) {
        let Action::Send { request, .. } = action else { return };
        if let Some(open) = self.open.iter_mut().find(|open| open.request.id == *request) {
            open.answered_at = Some(self.harness.now + Span::from_millis(40));
        }
    }
}

#[test]
fn overload_spares_the_most_valuable_class_and_starves_none() {
    let weighted = |priority_weight| RequestClass { priority_weight, ..class(Effect::Idempotent) };
    let goal = GoalWeights { overall: 0.7, worst_window: 0.0, worst_class: 0.3, worst_tenant: 0.0 };
    let classes = vec![weighted(1.0), weighted(3.0), weighted(10.0)];
    let settings = Settings { classes, goal, ..Settings::default() };

    let served = OverloadedService::served_shares(settings, |number| {
        let class = ClassId((number % 3) as usize);
        Request::new(RequestId(u64::from(number)), class, Span::from_millis(800))
    });

    assert!(served[2] > served[0] + 0.1 && served[2] > served[1] + 0.1, "{served:?}");
    assert!(served[0] > 0.05 && served[1] > 0.05, "{served:?}");
}

#[test]
fn tenant_over_its_quota_is_served_less() {
    let tenant = |share| Tenant { share, quota_per_s: 100.0 };
    let tenants = vec![tenant(0.3), tenant(0.7)];
    let settings = Settings { tenants, over_share_value: 0.1, ..idempotent_settings() };

    let served = OverloadedService::served_shares(settings, |number| Request {
        tenant: Some(TenantId(usize::from(number % 5 == 0))),
        ..Request::new(RequestId(u64::from(number)), ClassId(0), Span::from_millis(800))
    });

    assert!(served[1] > served[0] + 0.05, "the one within its share: {served:?}");
}

/// Sends requests until one is not sent at once; those that were.
fn send_until_full(harness: &mut Harness) -> Vec<RequestId> {
    let next_sent = || Some(harness.send_request(0)).filter(SubmittedRequest::is_sent);
    std::iter::from_fn(next_sent).map(|request| request.id).collect()
}

fn succeed_all(harness: &mut Harness, requests: &[RequestId], elapsed_ms: f64) {
    harness.advance_ms(elapsed_ms);
    for id in requests {
        harness.succeed(*id, elapsed_ms);
    }
}

/// A light balancer hears from each server seldom; before the common admission probability it took half a
/// minute of late answers to end an overload of the whole fleet.
#[test]
fn round_of_late_answers_from_the_whole_fleet_halves_sends() {
    let settings = Settings { balancer_count: 20, ..settings() };
    let mut harness = Harness::with_endpoints(settings, 1, fleet(24, 1, 1));

    let before = send_until_full(&mut harness);
    succeed_all(&mut harness, &before, 250.0);
    harness.advance_ms(250.0);
    let after_late_answers = send_until_full(&mut harness);
    succeed_all(&mut harness, &after_late_answers, 20.0);
    for _ in 0..500 {
        harness.send_and_succeed(20.0);
    }
    let after_quick_answers = send_until_full(&mut harness);

    let [before, late, quick] = [before, after_late_answers, after_quick_answers].map(|sent| sent.len());
    assert!(late * 2 < before, "{late} sent, {before} before");
    assert!(quick * 3 > before, "good answers bring it back: {quick}");
}

/// Pauses once stood as they were set at the last answer: after an overload, up to 47 s without a request.
#[test]
fn late_answer_at_low_admission_pauses_no_server_after_recovery() {
    let settings = Settings { balancer_count: 20, ..settings() };
    let mut harness = Harness::with_endpoints(settings, 1, fleet(2, 1, 1));
    for _ in 0..30 {
        harness.send_and_succeed(190.0);
        harness.advance_ms(2000.0);
    }

    let mut used_servers = BTreeSet::new();
    for _ in 0..150 {
        used_servers.extend(harness.send_and_succeed(5.0));
        harness.advance_ms(45.0);
    }

    assert_eq!(used_servers.len(), 2, "both in use again within 8 s");
}
