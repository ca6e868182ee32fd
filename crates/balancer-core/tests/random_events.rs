//! Tests that the rules hold for random sequences of events, and that equal events give equal actions.

mod common;

use balancer_core::*;
use common::*;
use std::collections::BTreeMap;

/// How long a request of these tests waits before its attempt is said to have timed out.
const TIMEOUT_MS: f64 = 800.0;

/// Settings that differ with the seed.
fn settings(seed: u64) -> Settings {
    let load_report_source = if seed % 3 == 0 { LoadReportSource::None } else { LoadReportSource::Responses };
    let discovery_mode = if seed % 2 == 1 { DiscoveryMode::OnRequest } else { DiscoveryMode::Pushed };
    Settings {
        balancer_count: 1 + (seed % 7) as u32,
        classes: vec![
            class(Effect::Idempotent),
            class(Effect::AtMostOnce),
            class(deduplicated(DedupScope::Fleet, 300.0)),
            class(deduplicated(DedupScope::Zone, 200.0)),
            class(deduplicated(DedupScope::Cell, 600.0)),
            RequestClass { late_value: 0.3, is_streaming: true, ..class(Effect::Idempotent) },
        ],
        allows_hedging: seed % 2 == 0,
        allows_cancel: seed % 3 != 0,
        sends_retry_after: seed % 5 == 0,
        allows_health_checks: seed % 4 == 0,
        load_report_source,
        load_report_fields: vec![LoadReportField::InFlight, LoadReportField::ServiceTime],
        discovery_mode,
        initial_capacity: 0.2,
        warm_up_time: Span::from_millis(4000),
        ..Settings::default()
    }
}

struct InFlightAttempt {
    request: RequestId,
    attempt: u32,
    sent_at: Time,
    deadline: Time,
    is_streaming: bool,
}

impl InFlightAttempt {
    fn has_timed_out(&self, now: Time) -> bool {
        now >= self.deadline && !self.is_streaming
    }
}

/// A balancer that is fed random events.
struct RandomEvents {
    rng: fastrand::Rng,
    harness: Harness,
    classes: Vec<RequestClass>,
    endpoints: Vec<Endpoint>,
    in_flight: Vec<InFlightAttempt>,
    next_attempts: BTreeMap<RequestId, u32>,
    /// All that the balancer did, as text; one entry a step.
    action_log: Vec<String>,
}

impl RandomEvents {
    fn run(seed: u64, step_count: u32) -> Self {
        let mut events = RandomEvents::new(seed);
        for step in 0..step_count {
            events.step(step);
        }
        events
    }

    fn new(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let settings = settings(seed);
        let classes = settings.classes.clone();
        let mut harness = Harness::new(settings, seed ^ 0x5eed);
        let endpoints = fleet(1 + rng.u32(0..9), 3, 3);
        harness.handle(Event::Endpoints(EndpointUpdate::Cached(endpoints.clone())));
        RandomEvents {
            rng,
            harness,
            classes,
            endpoints,
            in_flight: Vec::new(),
            next_attempts: BTreeMap::new(),
            action_log: Vec::new(),
        }
    }

    fn step(&mut self, step: u32) {
        let mut actions = self.happen(step);
        actions.extend(self.time_out_attempts());
        for action in &actions {
            self.carry_out(action);
        }
        self.action_log.push(format!("{actions:?}"));
    }

    /// One random event, or the passing of time.
    fn happen(&mut self, step: u32) -> Vec<Action> {
        match self.rng.u32(0..100) {
            0..=39 => self.send_request(RequestId(u64::from(step))),
            40..=79 if !self.in_flight.is_empty() => self.end_attempt(),
            80..=83 if !self.in_flight.is_empty() => self.begin_stream(),
            84..=86 => {
                let request = RequestId(u64::from(self.rng.u32(0..=step)));
                self.harness.handle(Event::ClientDisconnected { request }).to_vec()
            }
            87..=90 => self.change_endpoint(),
            _ => self.harness.advance_ms(self.rng.f64() * 15.0),
        }
    }

    fn send_request(&mut self, id: RequestId) -> Vec<Action> {
        let rng = &mut self.rng;
        let class = rng.usize(0..self.classes.len());
        let time_left = self.classes[class].deadline * (rng.f64() * 1.2).min(1.0);
        let mut request = Request::new(id, ClassId(class), time_left);
        request.routing_key = rng.bool().then(|| RoutingKey(rng.u64(0..5)));
        request.cost_hint = rng.bool().then(|| Span::from_millis_f64(rng.f64() * 80.0));
        self.harness.handle(Event::Request(request)).to_vec()
    }

    fn end_attempt(&mut self) -> Vec<Action> {
        let rng = &mut self.rng;
        let ended = self.in_flight.swap_remove(rng.usize(0..self.in_flight.len()));
        let may_be_unsent = !ended.is_streaming;
        let outcome = match rng.u32(0..10) {
            _ if ended.has_timed_out(self.harness.now) => Outcome::TimedOut,
            0 => Outcome::ServerError,
            1 if may_be_unsent => Outcome::Rejected,
            2 if may_be_unsent => Outcome::ConnectFailed,
            3 => Outcome::ConnectionReset,
            4 if may_be_unsent => Outcome::NotSent,
            _ => Outcome::Success,
        };
        let load_report = rng
            .bool()
            .then(|| LoadReport::new(vec![rng.f64() * 9.0, [f64::NAN, -4.0, 30.0][rng.usize(0..3)]]));
        let event = Event::AttemptEnded {
            request: ended.request,
            attempt: AttemptNumber(ended.attempt),
            outcome,
            elapsed: self.harness.now.since(ended.sent_at),
            load_report,
            is_request_finished: outcome == Outcome::Success || ended.is_streaming,
        };
        self.harness.handle(event).to_vec()
    }

    fn begin_stream(&mut self) -> Vec<Action> {
        let position = self.rng.usize(0..self.in_flight.len());
        let streaming = &mut self.in_flight[position];
        streaming.is_streaming = true;
        let (request, attempt) = (streaming.request, AttemptNumber(streaming.attempt));
        self.harness.handle(Event::FirstByte { request, attempt }).to_vec()
    }

    fn change_endpoint(&mut self) -> Vec<Action> {
        const STATUSES: [EndpointStatus; 4] = [
            EndpointStatus::Serving,
            EndpointStatus::Serving,
            EndpointStatus::Draining,
            EndpointStatus::Removed,
        ];
        let position = self.rng.usize(0..self.endpoints.len());
        let endpoint = &mut self.endpoints[position];
        endpoint.status = STATUSES[self.rng.usize(0..4)];
        if self.rng.bool() && endpoint.is_serving() {
            endpoint.started_at = Some(self.harness.now);
        }
        let update = match self.rng.u32(0..6) {
            0 => EndpointUpdate::Failed,
            1 => EndpointUpdate::Complete(self.endpoints.clone()),
            _ => EndpointUpdate::Changes(vec![endpoint.clone()]),
        };
        self.harness.handle(Event::Endpoints(update)).to_vec()
    }

    /// Ends the attempts that are past their deadline, as the caller's network would.
    fn time_out_attempts(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        loop {
            let now = self.harness.now;
            let position = self.in_flight.iter().position(|attempt| attempt.has_timed_out(now));
            let Some(position) = position else { return actions };
            let ended = self.in_flight.swap_remove(position);
            let answer =
                self.harness.end_attempt(ended.request, ended.attempt, Outcome::TimedOut, TIMEOUT_MS);
            actions.extend_from_slice(answer);
        }
    }

    fn carry_out(&mut self, action: &Action) {
        match *action {
            Action::Send { request, timeout_at, .. } => {
                let next_attempt = self.next_attempts.entry(request).or_insert(0);
                self.in_flight.push(InFlightAttempt {
                    request,
                    attempt: *next_attempt,
                    sent_at: self.harness.now,
                    deadline: timeout_at,
                    is_streaming: false,
                });
                *next_attempt += 1;
            }
            Action::Cancel { request, attempt } => {
                let is_cancelled = |candidate: &&mut InFlightAttempt| {
                    candidate.request == request && candidate.attempt == attempt.0 && !candidate.is_streaming
                };
                if let Some(cancelled) = self.in_flight.iter_mut().find(is_cancelled) {
                    // It ends soon, as a time-out would; the outcome's name is all that differs.
                    cancelled.deadline = self.harness.now;
                }
            }
            _ => {}
        }
    }
}

#[test]
fn rules_hold_for_random_events() {
    for seed in 0..120 {
        let events = RandomEvents::run(seed, 1800);

        let violations = &events.harness.rule_checker.violations;
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
        assert_eq!(events.harness.lost_request_count(), 0, "seed {seed}");
        let send_count = events.action_log.iter().filter(|actions| actions.contains("Send")).count();
        assert!(send_count > 50, "seed {seed} sent only {send_count} times and so shows little");
    }
}

#[test]
fn equal_events_give_equal_actions() {
    for seed in 0..10 {
        assert_eq!(RandomEvents::run(seed, 800).action_log, RandomEvents::run(seed, 800).action_log);
    }
}

#[test]
fn different_seeds_give_different_choices() {
    let choices = |seed| {
        let mut harness = Harness::with_endpoints(settings(2), seed, fleet(9, 3, 3));
        (0..20).map(|_| harness.send_request(0).server).collect::<Vec<_>>()
    };

    assert_ne!(choices(1), choices(2));
}

/// A harness that is fed the same requests whenever it is made.
struct RegularEvents {
    harness: Harness,
    step: u32,
}

impl RegularEvents {
    fn new(seed: u64) -> Self {
        let harness = Harness::with_endpoints(settings(seed), seed, fleet(7, 3, 3));
        RegularEvents { harness, step: 0 }
    }

    /// Sends the next request and answers it, unless it is the first of four.
    fn step(&mut self) -> Vec<Action> {
        let request = self.harness.send_request((self.step % 3) as usize);
        let mut actions = self.harness.actions.clone();
        actions.extend(self.harness.advance_ms(3.0));
        if request.is_sent() && self.step % 4 != 0 {
            actions.extend_from_slice(self.harness.succeed(request.id, 3.0));
        }
        self.step += 1;
        actions
    }
}

/// Two balancers that are fed in turn act as each does alone: they share nothing.
#[test]
fn interleaved_balancers_act_independently() {
    let act_alone = |seed| {
        let mut events = RegularEvents::new(seed);
        (0..300).map(|_| events.step()).collect::<Vec<_>>()
    };
    let (mut first, mut second) = (RegularEvents::new(3), RegularEvents::new(8));

    let mut interleaved = (Vec::new(), Vec::new());
    for _ in 0..300 {
        interleaved.0.push(first.step());
        interleaved.1.push(second.step());
    }

    assert_eq!(interleaved, (act_alone(3), act_alone(8)));
}
