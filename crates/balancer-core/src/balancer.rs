//! The balancer: takes events in, keeps the order of the steps, and hands actions out. Each step and the
//! state that it rests on live in a module of their own.

use crate::policy::{AdmissionControl, WatchRetry};
use crate::state::{
    ActiveRequest, AttemptKey, Budget, EndedAttempt, FleetLatency, FleetView, InFlightAttempt, LoadPoll,
    ServerIndex, ServerMemory, ServerRegistry, ShedOrder, Traffic, UsualTimeout, WarmUp, ZoneLinks,
};
use crate::{
    Action, DiscoveryMode, EjectionReason, EndpointUpdate, Event, LoadReport, Outcome, RequestId, ServerId,
    Settings, SettingsError, Span, Time, TimerId,
};
use std::collections::{BTreeMap, BTreeSet};

/// Interval of ticks while requests are queued, and while none are.
const BUSY_TICK: Span = Span::from_millis(10);
const IDLE_TICK: Span = Span::from_millis(50);

/// The decisions of one client process about where, when and how often its requests are sent.
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) rng: fastrand::Rng,
    /// The time of the event that is being handled, and the actions that it has led to so far.
    pub(crate) now: Time,
    pub(crate) actions: Vec<Action>,
    pub(crate) registry: ServerRegistry,
    pub(crate) requests: BTreeMap<RequestId, ActiveRequest>,
    pub(crate) in_flight: BTreeMap<AttemptKey, InFlightAttempt>,
    /// Requests that no server is open to, newest first within each rank.
    pub(crate) queue: Vec<RequestId>,
    pub(crate) memory: ServerMemory,
    pub(crate) load_polls: Vec<LoadPoll>,
    /// What the last load reports said on average.
    pub(crate) mean_reported_load: f64,
    pub(crate) latency: FleetLatency,
    pub(crate) warm_up: WarmUp,
    pub(crate) traffic: Traffic,
    pub(crate) admission: AdmissionControl,
    /// By class.
    pub(crate) class_order: Vec<ShedOrder>,
    /// By class.
    pub(crate) usual_timeouts: Vec<UsualTimeout>,
    pub(crate) retry_budget: Budget,
    /// In bytes.
    pub(crate) gossip_budget: Budget,
    pub(crate) zone_links: ZoneLinks,
    watch_retry: WatchRetry,
    next_tick: Time,
}

impl Balancer {
    /// A balancer for these settings; equal seeds and events give equal actions.
    ///
    /// # Errors
    ///
    /// If the settings are such that no balancer can work with them.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let class_count = settings.classes.len();
        Ok(Balancer {
            rng: fastrand::Rng::with_seed(seed),
            now: Time(0),
            actions: Vec::new(),
            registry: ServerRegistry::new(),
            requests: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            queue: Vec::new(),
            memory: ServerMemory::default(),
            load_polls: Vec::new(),
            mean_reported_load: 0.0,
            latency: FleetLatency::new(class_count),
            warm_up: WarmUp::new(),
            traffic: Traffic::new(class_count, settings.tenants.len()),
            admission: AdmissionControl::new(),
            class_order: vec![ShedOrder::First; class_count],
            usual_timeouts: vec![UsualTimeout::default(); class_count],
            retry_budget: Balancer::full_retry_budget(),
            gossip_budget: Balancer::full_gossip_budget(),
            zone_links: ZoneLinks::default(),
            watch_retry: WatchRetry::new(),
            next_tick: Time(0),
            settings,
        })
    }

    /// To be called once, before the first event; appends what is to be done.
    pub fn start(&mut self, now: Time, out: &mut Vec<Action>) {
        self.now = now;
        if self.settings.discovery_mode == DiscoveryMode::OnRequest {
            self.actions.push(Action::WatchEndpoints);
        }
        self.set_tick(IDLE_TICK);
        out.append(&mut self.actions);
    }

    /// Takes in what has happened by `now` and appends what is to be done about it.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::Request(request) => self.accept(request),
            Event::FirstByte { request, attempt } => {
                if let Some(active) = self.requests.get_mut(&request) {
                    active.is_bound_to_stream = (attempt.0 as usize) < active.attempts.len();
                }
            }
            Event::AttemptEnded { request, attempt, outcome, elapsed, load_report, is_request_finished } => {
                let key = AttemptKey { request, attempt };
                self.end_attempt(&EndedAttempt { key, outcome, elapsed, load_report, is_request_finished });
            }
            Event::ClientDisconnected { request } => {
                self.requests.remove(&request);
            }
            Event::TimerDue(TimerId::Tick) => self.tick(),
            Event::TimerDue(TimerId::LoadPollTimeout) => self.finish_polls(),
            Event::Gossip { payload, .. } => self.receive_gossip(&payload),
            Event::HealthChecked { server, outcome, load_report, .. } => {
                self.end_health_check(server, outcome, load_report);
            }
            Event::Endpoints(update) => self.update_endpoints(update),
        }
        out.append(&mut self.actions);
    }

    /// Whether this balancer sees little of each server's load.
    pub(crate) fn is_sparse(&self) -> bool {
        self.registry.view == FleetView::Sparse
    }

    fn end_health_check(&mut self, server: ServerId, outcome: Outcome, load_report: Option<LoadReport>) {
        let Some(index) = self.registry.find(server) else { return };
        match load_report {
            Some(report) => self.read_load_report(index, &report),
            None if outcome != Outcome::Success => self.eject(index, EjectionReason::FailedHealthCheck),
            None => {}
        }
        self.finish_polls();
    }

    fn update_endpoints(&mut self, update: EndpointUpdate) {
        let (endpoints, is_complete) = match update {
            EndpointUpdate::Failed => {
                return self.watch_retry.schedule(self.now, self.settings.max_poll_interval, &mut self.rng);
            }
            EndpointUpdate::Changes(endpoints) => (endpoints, false),
            EndpointUpdate::Complete(endpoints) | EndpointUpdate::Cached(endpoints) => (endpoints, true),
        };
        self.watch_retry.reset_backoff();
        for restarted in self.registry.update(self.now, endpoints, is_complete) {
            self.memory.forget(restarted);
        }
        self.forget_removed();
        self.registry.refresh_serving();
        let registry = &self.registry;
        self.memory.retain(|server| registry[server].endpoint.is_serving());
        self.measure_capacity();
        self.registry.refresh_view(self.settings.balancer_count);
        self.drain_queue();
    }

    /// Forgets the servers that were removed a while ago and that no request or poll refers to.
    fn forget_removed(&mut self) {
        let removed = self.registry.removed_long_ago(self.now);
        if removed.is_empty() {
            return;
        }
        let polled = self.load_polls.iter().flat_map(|poll| poll.candidates.iter().copied());
        let attempts = self.requests.values().flat_map(|active| &active.attempts);
        let referenced: BTreeSet<ServerIndex> =
            polled.chain(attempts.map(|attempt| attempt.server)).collect();
        for server in removed.into_iter().filter(|server| !referenced.contains(server)) {
            self.registry.forget(server);
            self.memory.forget_with_keys(server);
        }
        self.zone_links.retain(&self.registry.zones());
        self.latency.retain_machine_kinds(&self.registry.machine_kinds());
    }

    /// Measures the capacity of the serving fleet, in warm servers.
    fn measure_capacity(&mut self) {
        let serving = self.registry.serving_states();
        let shares: Vec<f64> = serving.map(|server| self.capacity_share(server)).collect();
        self.warm_up.warm_servers = shares.iter().filter(|share| **share >= 1.0).count();
        self.admission.follow_capacity(shares.iter().sum(), self.registry.view);
    }

    fn tick(&mut self) {
        if self.now < self.next_tick {
            return;
        }
        if self.watch_retry.take_due(self.now) {
            self.actions.push(Action::WatchEndpoints);
        }
        let answered = self.registry.serving_states().filter(|server| server.latency.samples > 0);
        self.latency.refresh_median(answered.map(|server| server.latency.ratio));
        self.measure_capacity();
        self.rank_classes();
        self.handle_overdue_attempts();
        self.drain_queue();
        self.set_tick(if self.queue.is_empty() { IDLE_TICK } else { BUSY_TICK });
    }

    /// Schedules a tick soon. A tick that is due sooner is never postponed: requests that are queued at each
    /// tick would starve it and miss their deadlines.
    pub(crate) fn tick_soon(&mut self) {
        if self.next_tick > self.now + BUSY_TICK {
            self.set_tick(BUSY_TICK);
        }
    }

    fn set_tick(&mut self, after: Span) {
        self.next_tick = self.now + after;
        self.actions.push(Action::SetTimer { at: self.next_tick, timer: TimerId::Tick });
    }
}

#[cfg(test)]
mod tests;
