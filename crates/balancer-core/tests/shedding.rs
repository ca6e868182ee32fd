//! Tests of shedding: under overload, the requests that are worth least are rejected first.

mod common;

use balancer_core::*;
use common::*;
use std::collections::BTreeMap;

/// A timeout shorter than its class's usual one marks a client's retry; past its latency objective, serving
/// it is wasted work.
#[test]
fn client_retry_past_its_latency_objective_is_rejected() {
    let mut harness = Harness::with_endpoints(six_attempt_settings(), 1, fleet(9));
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

/// The time that a server of [`OverloadedService`] takes for a request.
const SERVICE_TIME_MS: f64 = 40.0;

/// The class and tenant of requests, which are counted together.
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
struct PendingRequest {
    request: Request,
    /// When its server answers; `None` while it has not been sent.
    answered_at: Option<Time>,
}

/// A fleet of two servers that is offered more requests than it can serve.
struct OverloadedService {
    harness: Harness,
    pending: Vec<PendingRequest>,
    tallies: BTreeMap<RequestGroup, Tally>,
}

impl OverloadedService {
    /// Offers 6000 requests, one every 2 ms; returns the served share of each group.
    fn served_shares(settings: Settings, request: impl Fn(u32) -> Request) -> Vec<f64> {
        let harness = Harness::with_endpoints(settings, 3, fleet(2));
        let mut service = OverloadedService { harness, pending: Vec::new(), tallies: BTreeMap::new() };
        for number in 0..6000 {
            service.offer(request(number));
        }
        service.tallies.values().map(Tally::served_share).collect()
    }

    fn offer(&mut self, request: Request) {
        self.tallies.entry(RequestGroup::of(&request)).or_default().offered += 1;
        let mut actions = self.harness.handle(Event::Request(request.clone())).to_vec();
        self.pending.push(PendingRequest { request, answered_at: None });
        actions.extend(self.harness.advance_ms(2.0));
        actions.extend(self.answer_due_requests());
        for action in actions {
            self.record_send(&action);
        }
    }

    fn answer_due_requests(&mut self) -> Vec<Action> {
        let now = self.harness.now;
        let is_due = |pending: &&PendingRequest| pending.answered_at.is_some_and(|at| at <= now);
        let due = self.pending.iter().filter(is_due);
        let due: Vec<RequestId> = due.map(|pending| pending.request.id).collect();
        let mut actions = Vec::new();
        for id in due {
            actions.extend_from_slice(self.harness.succeed(id, SERVICE_TIME_MS));
            let position = self.pending.iter().position(|pending| pending.request.id == id);
            let answered = self.pending.swap_remove(position.expect("it is pending"));
            let tally = self.tallies.get_mut(&RequestGroup::of(&answered.request));
            tally.expect("it was counted").served += 1;
        }
        actions
    }

    fn record_send(&mut self, action: &Action) {
        let Action::Send { request, .. } = action else { return };
        if let Some(sent) = self.pending.iter_mut().find(|pending| pending.request.id == *request) {
            sent.answered_at = Some(self.harness.now + Span::from_millis_f64(SERVICE_TIME_MS));
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
        Request::new(RequestId(u64::from(number)), class, CLASS_TIMEOUT)
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
        ..Request::new(RequestId(u64::from(number)), ClassId(0), CLASS_TIMEOUT)
    });

    assert!(served[1] > served[0] + 0.05, "the one within its share: {served:?}");
}
