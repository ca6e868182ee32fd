//! Plays long seeded sequences of events and compares a digest of every action with the one recorded before.
//!
//! A balancer reads no clock and starts no thread, so equal seeds and events give equal actions. A change
//! that is meant to leave decisions alone (names, modules, types) must leave every digest as it is. A change
//! that is meant to alter decisions records new digests in its own commit and says so.

mod common;

use balancer_core::*;
use common::{class, deduplicated};
use fnv::FnvHasher;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::hash::Hasher;

/// What a simulated server does with the attempts that reach it.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    Slow(f64),
    Hangs,
    RefusesConnections,
    ReturnsErrors,
    RejectsAll,
    ResetsConnections,
}

struct ServerModel {
    endpoint: Endpoint,
    in_flight: u32,
    fault: Fault,
}

/// What is due at some later time.
enum Pending {
    Arrival,
    Fault,
    /// The fleet, discovery and the clients are as usual again.
    Calm,
    Recovery(ServerId),
    Endpoints(EndpointUpdate),
    Timer(TimerId),
    AttemptEnd {
        request: RequestId,
        attempt: u32,
        server: ServerId,
        outcome: Outcome,
        sent: Time,
    },
    Probed(ServerId),
    Disconnect(RequestId),
    FirstByte(RequestId),
    Gossip(Vec<u8>),
}

#[derive(Default)]
struct RequestModel {
    sends: u32,
    ended: bool,
    streams: bool,
    timeouts_at: BTreeMap<u32, (ServerId, Time)>,
}

/// A deployment and the traffic that it gets.
struct Scenario {
    seed: u64,
    settings: Settings,
    servers: u32,
    zones: u32,
    kinds: u32,
    requests: u64,
    mean_gap_ms: f64,
    mean_fault_gap_ms: f64,
    routing_keys: u64,
    base_latency_ms: f64,
    initial_fleet: InitialFleet,
}

/// The state of the fleet when the scenario begins.
#[derive(Clone, Copy, PartialEq)]
enum InitialFleet {
    Warm,
    /// Every second server has just started.
    HalfWarmingUp,
    /// All servers drain, and come back after a short while.
    Draining,
}

/// A discrete-event model of one balancer's surroundings.
struct World {
    scenario: Scenario,
    rng: fastrand::Rng,
    balancer: Balancer,
    now: Time,
    pending: BTreeMap<u64, Pending>,
    due: BinaryHeap<Reverse<(Time, u64)>>,
    sequence: u64,
    servers: BTreeMap<ServerId, ServerModel>,
    next_server: u32,
    requests: BTreeMap<RequestId, RequestModel>,
    next_request: u64,
    /// Every server is slower by this factor.
    fleet_slowness: f64,
    discovery_is_down: bool,
    patience: f64,
    burst: f64,
    digest: FnvHasher,
    /// How often each kind of action was seen, in the order of `Action`.
    counts: [u64; 11],
}

impl World {
    fn new(scenario: Scenario) -> Self {
        let balancer = Balancer::new(scenario.settings.clone(), scenario.seed).expect("usable settings");
        let mut world = World {
            rng: fastrand::Rng::with_seed(scenario.seed ^ 0x5eed),
            balancer,
            now: Time::from_ms(1_000_000.0),
            pending: BTreeMap::new(),
            due: BinaryHeap::new(),
            sequence: 0,
            servers: BTreeMap::new(),
            next_server: 0,
            requests: BTreeMap::new(),
            next_request: 0,
            fleet_slowness: 1.0,
            discovery_is_down: false,
            patience: 1.0,
            burst: 1.0,
            digest: FnvHasher::default(),
            counts: [0; 11],
            scenario,
        };
        for number in 0..world.scenario.servers {
            let initial_fleet = world.scenario.initial_fleet;
            let is_warming_up = initial_fleet == InitialFleet::HalfWarmingUp && number % 2 == 0;
            let server = world.add_server(is_warming_up.then_some(world.now));
            if initial_fleet == InitialFleet::Draining {
                world.servers.get_mut(&server).expect("just added").endpoint.status =
                    EndpointStatus::Draining;
                world.schedule(150.0, Pending::Recovery(server));
            }
        }
        let mut actions = Vec::new();
        world.balancer.start(world.now, &mut actions);
        world.carry_out(actions);
        world.handle(Event::Endpoints(EndpointUpdate::Cached(world.endpoints())));
        world.schedule(1.0, Pending::Arrival);
        world.schedule(500.0, Pending::Fault);
        world
    }

    fn run(mut self) -> (u64, [u64; 11]) {
        while self.next_request < self.scenario.requests || !self.requests.values().all(|r| r.ended) {
            let Some(Reverse((at, sequence))) = self.due.pop() else { break };
            self.now = self.now.max(at);
            let pending = self.pending.remove(&sequence).expect("each is due once");
            self.step(pending);
        }
        (self.digest.finish(), self.counts)
    }

    fn schedule(&mut self, after_ms: f64, pending: Pending) {
        let at = self.now + Span::from_ms(after_ms);
        self.schedule_at(at, pending);
    }

    fn schedule_at(&mut self, at: Time, pending: Pending) {
        self.sequence += 1;
        self.pending.insert(self.sequence, pending);
        self.due.push(Reverse((at, self.sequence)));
    }

    fn step(&mut self, pending: Pending) {
        match pending {
            Pending::Arrival => self.arrival(),
            Pending::Fault => self.inject_fault(),
            Pending::Calm => {
                (self.fleet_slowness, self.burst, self.patience) = (1.0, 1.0, 1.0);
                self.discovery_is_down = false;
            }
            Pending::Recovery(server) => {
                self.servers.get_mut(&server).expect("it is known").fault = Fault::None;
                if self.servers[&server].endpoint.status != EndpointStatus::Serving {
                    self.change_status(server, EndpointStatus::Serving);
                }
            }
            Pending::Endpoints(update) => self.handle(Event::Endpoints(update)),
            Pending::Timer(timer) => self.handle(Event::TimerDue(timer)),
            Pending::AttemptEnd { request, attempt, server, outcome, sent } => {
                self.end_attempt(request, attempt, server, outcome, sent);
            }
            Pending::Probed(server) => {
                let report = self.report(server);
                let silent = self.servers.get(&server).is_none_or(|s| s.fault == Fault::Hangs);
                let (outcome, report) = match silent {
                    true => (Outcome::TimedOut, None),
                    false => (Outcome::Success, Some(report)),
                };
                self.handle(Event::HealthChecked {
                    server,
                    outcome,
                    elapsed: Span::from_ms(2.0),
                    load_report: report,
                });
            }
            Pending::Disconnect(request) => {
                if self.requests.get(&request).is_some_and(|r| !r.ended) {
                    self.end_request(request);
                    self.handle(Event::ClientDisconnected { request });
                }
            }
            Pending::FirstByte(request) => {
                if let Some(model) = self.requests.get_mut(&request).filter(|r| !r.ended && r.sends > 0) {
                    model.streams = true;
                    let attempt = AttemptNumber(model.sends - 1);
                    self.handle(Event::FirstByte { request, attempt });
                }
            }
            Pending::Gossip(payload) => self.handle(Event::Gossip { from: PeerId(1), payload }),
        }
    }

    fn arrival(&mut self) {
        if self.next_request >= self.scenario.requests {
            return;
        }
        let gap = -(1.0 - self.rng.f64()).ln() * self.scenario.mean_gap_ms / self.burst;
        self.schedule(gap, Pending::Arrival);
        let settings = &self.scenario.settings;
        let index = self.rng.usize(0..settings.classes.len());
        let waits = if self.rng.u32(0..10) == 0 { self.rng.f64() } else { self.patience };
        let id = RequestId(self.next_request);
        let mut request = Request::new(id, ClassId(index), settings.classes[index].deadline * waits);
        if !settings.tenants.is_empty() {
            let skewed = self.rng.usize(0..settings.tenants.len()) * self.rng.usize(0..2);
            request.tenant = Some(TenantId(skewed));
        }
        if self.scenario.routing_keys > 0 {
            request.routing_key = Some(RoutingKey(self.rng.u64(0..self.scenario.routing_keys)));
        }
        if self.rng.u32(0..3) == 0 {
            request.cost_hint = Some(Span::from_ms(5.0 + self.rng.f64() * 150.0));
        }
        self.next_request += 1;
        self.requests.insert(id, RequestModel::default());
        if self.rng.u32(0..40) == 0 {
            let after = self.rng.f64() * 300.0;
            self.schedule(after, Pending::Disconnect(id));
        }
        if settings_stream(&self.scenario.settings, index) && self.rng.u32(0..4) == 0 {
            let after = 5.0 + self.rng.f64() * 20.0;
            self.schedule(after, Pending::FirstByte(id));
        }
        self.handle(Event::Request(request));
    }

    /// Changes one thing about the fleet, discovery or the clients, and schedules the next change.
    fn inject_fault(&mut self) {
        let gap = -(1.0 - self.rng.f64()).ln() * self.scenario.mean_fault_gap_ms;
        self.schedule(gap, Pending::Fault);
        let calm_after = 1500.0 + 3.0 * self.scenario.mean_fault_gap_ms * self.rng.f64();
        self.schedule(calm_after, Pending::Calm);
        let count = self.servers.len();
        let server = *self.servers.keys().nth(self.rng.usize(0..count)).expect("it has servers");
        match self.rng.u32(0..20) {
            0..=7 => self.change_behaviour(server),
            8 => self.change_status(server, EndpointStatus::Draining),
            9 | 10 => self.change_status(server, EndpointStatus::Removed),
            11 | 12 => self.restart(server),
            13 => {
                let started = Some(self.now);
                let new = self.add_server(started);
                self.change_status(new, EndpointStatus::Serving);
            }
            14 => self.fleet_slowness = [1.0, 1.0, 2.5, 6.0, 12.0][self.rng.usize(0..5)],
            15 => self.discovery_is_down = !self.discovery_is_down,
            16 => self.patience = [1.0, 1.0, 0.6, 0.3][self.rng.usize(0..4)],
            17 => self.burst = [1.0, 1.0, 0.2, 4.0, 12.0][self.rng.usize(0..5)],
            18 => {
                let payload = match self.rng.u32(0..3) {
                    0 => vec![1, 2, 3],
                    _ => server.0.to_be_bytes().to_vec(),
                };
                self.schedule(1.0, Pending::Gossip(payload));
            }
            _ => self.publish_all(),
        }
    }

    fn change_behaviour(&mut self, server: ServerId) {
        let fault = match self.rng.u32(0..10) {
            0 => Fault::Slow(2.0 + self.rng.f64() * 6.0),
            1 => Fault::Hangs,
            2 => Fault::RefusesConnections,
            3 => Fault::ReturnsErrors,
            4 => Fault::RejectsAll,
            5 => Fault::ResetsConnections,
            _ => Fault::None,
        };
        self.servers.get_mut(&server).expect("it is known").fault = fault;
        let recovers_after = 500.0 + 4.0 * self.scenario.mean_fault_gap_ms * self.rng.f64();
        self.schedule(recovers_after, Pending::Recovery(server));
    }

    fn change_status(&mut self, server: ServerId, status: EndpointStatus) {
        let model = self.servers.get_mut(&server).expect("it is known");
        model.endpoint.status = status;
        let endpoint = model.endpoint.clone();
        self.publish(EndpointUpdate::Changes(vec![endpoint]));
        if status != EndpointStatus::Serving {
            let returns_after = 500.0 + 20_000.0 * self.rng.f64();
            self.schedule(returns_after, Pending::Recovery(server));
        }
    }

    fn restart(&mut self, server: ServerId) {
        let started = Some(self.now);
        let model = self.servers.get_mut(&server).expect("it is known");
        (model.endpoint.started_at, model.fault) = (started, Fault::None);
        self.change_status(server, EndpointStatus::Serving);
    }

    fn publish_all(&mut self) {
        let update = EndpointUpdate::Complete(self.endpoints());
        self.publish(update);
    }

    fn publish(&mut self, update: EndpointUpdate) {
        let update = if self.discovery_is_down { EndpointUpdate::Failed } else { update };
        self.schedule(5.0, Pending::Endpoints(update));
    }

    fn add_server(&mut self, started: Option<Time>) -> ServerId {
        let number = self.next_server;
        self.next_server += 1;
        let server = ServerId(number);
        let endpoint = Endpoint {
            zone: ZoneId(number % self.scenario.zones),
            machine_kind: MachineKindId(number % self.scenario.kinds),
            cell: CellId(number % self.scenario.zones),
            weight: 1.0 + f64::from(number % 3),
            started_at: started,
            ..Endpoint::serving(server)
        };
        self.servers.insert(server, ServerModel { endpoint, in_flight: 0, fault: Fault::None });
        server
    }

    fn endpoints(&self) -> Vec<Endpoint> {
        let listed = self.servers.values().filter(|s| s.endpoint.status != EndpointStatus::Removed);
        listed.map(|s| s.endpoint.clone()).collect()
    }

    fn report(&mut self, server: ServerId) -> Vec<f64> {
        let held = self.servers.get(&server).map_or(0, |s| s.in_flight);
        match self.rng.u32(0..20) {
            0 => vec![f64::NAN, -4.0],
            _ => vec![f64::from(held) + self.rng.f64() * 6.0 * self.fleet_slowness, 20.0],
        }
    }

    fn end_request(&mut self, request: RequestId) {
        self.requests.get_mut(&request).expect("it is known").ended = true;
    }

    fn end_attempt(
        &mut self,
        request: RequestId,
        attempt: u32,
        server: ServerId,
        outcome: Outcome,
        sent: Time,
    ) {
        let model = self.requests.get_mut(&request).expect("it is known");
        if model.timeouts_at.remove(&attempt).is_none() {
            return;
        }
        model.ended |= outcome == Outcome::Success || model.streams;
        let closed = model.ended;
        let server_model = self.servers.get_mut(&server).expect("it is known");
        server_model.in_flight -= 1;
        let reports = self.scenario.settings.load_report_source == LoadReportSource::Responses;
        let report = if reports && outcome == Outcome::Success { Some(self.report(server)) } else { None };
        let (elapsed, attempt) = (self.now.since(sent), AttemptNumber(attempt));
        self.handle(Event::AttemptEnded {
            request,
            attempt,
            outcome,
            elapsed,
            load_report: report,
            is_request_finished: closed,
        });
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        self.carry_out(actions);
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            self.record(&action);
            match action {
                Action::Send { request, server, timeout_at, .. } => self.send(request, server, timeout_at),
                Action::Cancel { request, attempt } => self.cancel(request, attempt.0),
                Action::Reject { request, .. } | Action::Fail { request } => self.end_request(request),
                Action::SetTimer { at, timer } => self.schedule_at(at, Pending::Timer(timer)),
                Action::CheckHealth { server } => self.schedule(2.0, Pending::Probed(server)),
                Action::WatchEndpoints => self.publish_all(),
                _ => {}
            }
        }
    }

    fn send(&mut self, request: RequestId, server: ServerId, timeout_at: Time) {
        let noise = 0.5 + self.rng.f64();
        let model = self.servers.get_mut(&server).expect("only listed servers are sent to");
        model.in_flight += 1;
        let crowd = 1.0 + f64::from(model.in_flight) / 8.0;
        let kind = 1.0 + 0.7 * f64::from(model.endpoint.machine_kind.0);
        let normal = self.scenario.base_latency_ms * self.fleet_slowness * kind * crowd * noise;
        let (outcome, after) = match model.fault {
            Fault::None => (Outcome::Success, normal),
            Fault::Slow(factor) => (Outcome::Success, normal * factor),
            Fault::Hangs => (Outcome::TimedOut, f64::INFINITY),
            Fault::RefusesConnections => (Outcome::ConnectFailed, 3.0),
            Fault::ReturnsErrors => (Outcome::ServerError, 4.0),
            Fault::RejectsAll => (Outcome::Rejected, 2.0),
            Fault::ResetsConnections => (Outcome::ConnectionReset, 0.4 * normal),
        };
        let request_model = self.requests.get_mut(&request).expect("it is known");
        let attempt = request_model.sends;
        request_model.sends += 1;
        request_model.timeouts_at.insert(attempt, (server, self.now));
        let left = timeout_at.since(self.now).as_ms();
        let (outcome, after) = if after < left { (outcome, after) } else { (Outcome::TimedOut, left) };
        let sent = self.now;
        self.schedule(after, Pending::AttemptEnd { request, attempt, server, outcome, sent });
    }

    fn cancel(&mut self, request: RequestId, attempt: u32) {
        let model = &self.requests[&request];
        if let Some(&(server, sent)) = model.timeouts_at.get(&attempt) {
            let outcome = Outcome::Cancelled;
            self.schedule(1.0, Pending::AttemptEnd { request, attempt, server, outcome, sent });
        }
    }

    /// Adds an action to the digest. Numbers in log lines count, their wording does not.
    fn record(&mut self, action: &Action) {
        let none = u64::MAX;
        let words: (usize, Vec<u64>) = match action {
            Action::Send { request, server, timeout_at, write_by } => {
                (0, vec![request.0, server.0.into(), timeout_at.0, write_by.map_or(none, |at| at.0)])
            }
            Action::Cancel { request, attempt } => (1, vec![request.0, attempt.0.into()]),
            Action::Reject { request, retry_after } => {
                (2, vec![request.0, retry_after.map_or(none, |after| after.0)])
            }
            Action::Fail { request } => (3, vec![request.0]),
            Action::SetTimer { at, timer } => (4, vec![at.0, timer.0]),
            Action::CheckHealth { server } => (5, vec![server.0.into()]),
            Action::CloseIdle { server } => (6, vec![server.0.into()]),
            Action::Gossip { to, payload } => {
                let bytes = payload.iter().map(|byte| u64::from(*byte));
                (7, std::iter::once(to.map_or(none, |peer| peer.0.into())).chain(bytes).collect())
            }
            Action::WatchEndpoints => (8, vec![1]),
            Action::Log { text } => {
                let numbers = text.split_whitespace().filter_map(|word| word.parse::<f64>().ok());
                (10, numbers.map(f64::to_bits).collect())
            }
        };
        self.counts[words.0] += 1;
        self.digest.write_u64(self.now.0);
        self.digest.write_u64(words.0 as u64);
        words.1.into_iter().for_each(|word| self.digest.write_u64(word));
    }
}

fn settings_stream(settings: &Settings, class: usize) -> bool {
    settings.classes[class].is_streaming
}

/// One class for each effect, and one that streams.
fn all_effects() -> Vec<RequestClass> {
    vec![
        class(Effect::Idempotent),
        RequestClass {
            priority_weight: 4.0,
            latency_objective: Span::from_ms(120.0),
            ..class(Effect::AtMostOnce)
        },
        RequestClass { priority_weight: 2.0, ..class(deduplicated(DedupScope::Fleet, 400.0)) },
        RequestClass { priority_weight: 0.3, ..class(deduplicated(DedupScope::Zone, 300.0)) },
        RequestClass { late_value: 0.4, ..class(deduplicated(DedupScope::Cell, 600.0)) },
        RequestClass { late_value: 0.3, is_streaming: true, ..class(Effect::Idempotent) },
    ]
}

fn small_deployment() -> Settings {
    Settings {
        balancer_count: 4,
        classes: all_effects(),
        goal: GoalWeights { overall: 0.6, worst_window: 0.2, worst_class: 0.2, worst_tenant: 0.0 },
        sends_retry_after: true,
        max_retry_after: Span::from_ms(45.0),
        initial_capacity: 0.15,
        warm_up_time: Span::from_ms(6000.0),
        overload_factor: 3.0,
        overload_window: Span::from_ms(800.0),
        connect_timeout: Span::from_ms(20.0),
        max_poll_interval: Span::from_ms(3000.0),
        ..Settings::default()
    }
}

fn large_deployment() -> Settings {
    let costs = Costs { cross_zone: 0.01, handshake: 0.08, wasted_work: 0.3, ..Costs::default() };
    Settings {
        balancer_count: 300,
        costs,
        allows_gossip: true,
        endpoint_weights: EndpointWeights::Size,
        ..small_deployment()
    }
}

fn tenants() -> Vec<Tenant> {
    [0.2, 0.5, 0.3].map(|fraction| Tenant { share: fraction, quota_per_s: 20.0 }).to_vec()
}

fn scenario(seed: u64, settings: Settings) -> Scenario {
    Scenario {
        seed,
        settings,
        servers: 8,
        zones: 3,
        kinds: 2,
        requests: 8000,
        mean_gap_ms: 6.0,
        mean_fault_gap_ms: 400.0,
        routing_keys: 0,
        base_latency_ms: 14.0,
        initial_fleet: InitialFleet::Warm,
    }
}

fn few_balancers_pushed() -> Scenario {
    let settings = Settings { allows_hedging: true, ..small_deployment() };
    scenario(11, settings)
}

fn few_balancers_polling_endpoints() -> Scenario {
    let costs = Costs { cross_zone: 0.02, ..Costs::default() };
    let settings = Settings {
        discovery_mode: DiscoveryMode::OnRequest,
        costs,
        load_report_source: LoadReportSource::Responses,
        load_report_fields: vec![LoadReportField::InFlight, LoadReportField::ServiceTime],
        ..small_deployment()
    };
    Scenario { servers: 12, mean_fault_gap_ms: 250.0, ..scenario(12, settings) }
}

fn costly_zones_and_few_servers() -> Scenario {
    let costs = Costs { cross_zone: 0.05, ..Costs::default() };
    let settings = Settings { costs, allows_cancel: false, max_attempts: 2, ..small_deployment() };
    Scenario { servers: 4, mean_gap_ms: 3.0, ..scenario(13, settings) }
}

fn routing_keys() -> Scenario {
    let settings = Settings {
        has_key_affinity: true,
        classes: vec![class(Effect::Idempotent), class(deduplicated(DedupScope::Fleet, 300.0))],
        ..small_deployment()
    };
    Scenario {
        servers: 20,
        requests: 30_000,
        mean_gap_ms: 4.0,
        mean_fault_gap_ms: 2000.0,
        routing_keys: 13_000,
        ..scenario(14, settings)
    }
}

fn tenants_over_their_share() -> Scenario {
    let settings = Settings {
        tenants: tenants(),
        over_share_value: 0.1,
        value_basis: ValueBasis::Work,
        balancer_count: 3,
        ..small_deployment()
    };
    Scenario { servers: 5, mean_gap_ms: 4.0, ..scenario(15, settings) }
}

fn burst_on_a_tiny_fleet() -> Scenario {
    let settings = Settings { balancer_count: 2, ..small_deployment() };
    Scenario { servers: 2, zones: 1, mean_gap_ms: 2.0, mean_fault_gap_ms: 900.0, ..scenario(16, settings) }
}

fn long_lived_fleet() -> Scenario {
    let settings = Settings { has_key_affinity: true, ..small_deployment() };
    Scenario {
        requests: 5000,
        mean_gap_ms: 100.0,
        mean_fault_gap_ms: 3000.0,
        routing_keys: 40,
        ..scenario(17, settings)
    }
}

fn many_balancers_pushed() -> Scenario {
    let settings = Settings {
        load_report_source: LoadReportSource::Responses,
        load_report_fields: vec![LoadReportField::QueueLength, LoadReportField::ServiceTime],
        ..large_deployment()
    };
    Scenario { servers: 60, mean_gap_ms: 15.0, mean_fault_gap_ms: 150.0, ..scenario(18, settings) }
}

fn many_balancers_polling_endpoints() -> Scenario {
    let settings =
        Settings { discovery_mode: DiscoveryMode::OnRequest, tenants: tenants(), ..large_deployment() };
    Scenario { servers: 40, kinds: 4, mean_gap_ms: 30.0, ..scenario(19, settings) }
}

fn many_balancers_probing_loads(probe: f64, seed: u64) -> Scenario {
    let base = large_deployment();
    let settings = Settings {
        costs: Costs { health_check: probe, ..base.costs.clone() },
        allows_health_checks: true,
        load_report_source: LoadReportSource::HealthChecks,
        load_report_fields: vec![LoadReportField::InFlight, LoadReportField::ServiceTime],
        ..base
    };
    Scenario { servers: 30, mean_gap_ms: 20.0, mean_fault_gap_ms: 200.0, ..scenario(seed, settings) }
}

fn many_balancers_jammed() -> Scenario {
    let settings = Settings { allows_gossip: false, ..large_deployment() };
    let initial_fleet = InitialFleet::HalfWarmingUp;
    Scenario { servers: 25, mean_gap_ms: 5.0, base_latency_ms: 40.0, initial_fleet, ..scenario(22, settings) }
}

fn many_balancers_long_lived() -> Scenario {
    Scenario {
        servers: 25,
        requests: 5000,
        mean_gap_ms: 100.0,
        mean_fault_gap_ms: 2500.0,
        ..scenario(23, large_deployment())
    }
}

fn burst_over_the_queue() -> Scenario {
    let initial_fleet = InitialFleet::Draining;
    let scenario = scenario(24, small_deployment());
    Scenario { servers: 3, requests: 3000, mean_gap_ms: 0.1, initial_fleet, ..scenario }
}

fn many_balancers_without_hope() -> Scenario {
    Scenario { servers: 25, mean_gap_ms: 5.0, base_latency_ms: 500.0, ..scenario(25, large_deployment()) }
}

fn many_balancers_with_quick_servers() -> Scenario {
    let initial_fleet = InitialFleet::HalfWarmingUp;
    let scenario = scenario(26, large_deployment());
    Scenario { servers: 30, requests: 4000, base_latency_ms: 0.4, initial_fleet, ..scenario }
}

/// The scenarios and the digest of each, recorded with the program as it was before its code was reorganised.
fn recorded() -> Vec<(&'static str, Scenario, u64)> {
    vec![
        ("few balancers, endpoints pushed", few_balancers_pushed(), 0x3779_d27f_308c_ecbd),
        ("few balancers, endpoints polled", few_balancers_polling_endpoints(), 0xf5e4_c423_fe8a_27cb),
        ("costly zones and few servers", costly_zones_and_few_servers(), 0x9819_6ab1_7383_a411),
        ("routing keys", routing_keys(), 0x83e9_1088_601f_ee65),
        ("tenants over their share", tenants_over_their_share(), 0xc8f6_659b_7287_559b),
        ("burst on a tiny fleet", burst_on_a_tiny_fleet(), 0x79d4_41a1_1f42_0ec9),
        ("long-lived fleet", long_lived_fleet(), 0xc1a9_b648_f0e4_f2dc),
        ("many balancers, endpoints pushed", many_balancers_pushed(), 0x75f6_8dea_ab2d_eec9),
        ("many balancers, endpoints polled", many_balancers_polling_endpoints(), 0x2cd8_56e8_b8f7_9803),
        ("many balancers, cheap probes", many_balancers_probing_loads(0.0008, 20), 0xaf4f_8c0b_da66_cb71),
        ("many balancers, costly probes", many_balancers_probing_loads(0.00085, 21), 0x17f9_b167_2f7b_c36f),
        ("many balancers, jammed", many_balancers_jammed(), 0x33f5_cbd5_0ecf_d6c6),
        ("burst over the queue", burst_over_the_queue(), 0x1988_5e84_7ac0_b13b),
        ("many balancers, without hope", many_balancers_without_hope(), 0x402d_1c48_995a_cedb),
        ("many balancers, quick servers", many_balancers_with_quick_servers(), 0x44f9_8251_e970_7d40),
        ("many balancers, long-lived", many_balancers_long_lived(), 0xa7cf_8cbb_9120_905e),
    ]
}

#[test]
fn actions_equal_the_recorded_ones() {
    let played: Vec<(&str, u64, u64)> = recorded()
        .into_iter()
        .map(|(name, scenario, digest)| (name, World::new(scenario).run().0, digest))
        .collect();
    let changed: Vec<String> = played
        .iter()
        .filter(|(_, digest, expected)| digest != expected)
        .map(|(name, digest, expected)| format!("{name}: {digest:#018x}, recorded {expected:#018x}"))
        .collect();
    assert!(changed.is_empty(), "other actions than recorded:\n{}", changed.join("\n"));
}

/// A digest over scenarios that hardly act would show little.
#[test]
fn scenarios_cover_every_kind_of_action() {
    let mut total = [0; 11];
    for (name, scenario, _) in recorded() {
        let (_, counts) = World::new(scenario).run();
        assert!(counts[0] > 100, "{name}: {} sends", counts[0]);
        total.iter_mut().zip(counts).for_each(|(all, count)| *all += count);
    }
    let retired = 9;
    let unseen: Vec<usize> = (0..total.len()).filter(|&i| i != retired && total[i] < 20).collect();
    assert!(unseen.is_empty(), "kinds of action hardly seen: {unseen:?} of {total:?}");
}
