//! The balancer: handles events, orders the steps, and turns what the concerns of [`crate::policy`] decide
//! into actions. It holds no rule of its own.

mod endpoints;
mod feedback;
mod health;
mod polling;
mod requests;
mod sending;

use crate::policy::admission::AdmissionControl;
use crate::policy::deadline::{ObjectiveDeadlines, Timeliness};
use crate::policy::fleet::ServerRegistry;
use crate::policy::latency::FleetLatency;
use crate::policy::requests::{ActiveRequest, AttemptKey, AttemptsInFlight, EndedAttempt};
use crate::policy::retry::RetryBudget;
use crate::policy::routing::Router;
use crate::policy::server_load::{LoadPolling, LoadReports};
use crate::policy::shedding::LoadShedder;
use crate::policy::slow_start::SlowStart;
use crate::policy::suspicion::SuspicionTracker;
use crate::policy::tick::TickSchedule;
use crate::policy::wait_queue::WaitQueue;
use crate::policy::watch::WatchRetry;
use crate::{Action, DiscoveryMode, Event, RequestId, Settings, SettingsError, Time, TimerId};
use std::collections::BTreeMap;

/// The decisions of one client process about where, when and how often its requests are sent.
pub struct Balancer {
    settings: Settings,
    rng: fastrand::Rng,
    /// The time of the event that is being handled.
    now: Time,
    /// The actions that the event has led to so far.
    actions: Vec<Action>,
    ticks: TickSchedule,
    watch_retry: WatchRetry,
    fleet: ServerRegistry,
    latency: FleetLatency,
    slow_start: SlowStart,
    suspicion: SuspicionTracker,
    load_reports: LoadReports,
    load_polling: LoadPolling,
    router: Router,
    requests: BTreeMap<RequestId, ActiveRequest>,
    in_flight: AttemptsInFlight,
    objectives: ObjectiveDeadlines,
    admission: AdmissionControl,
    shedder: LoadShedder,
    retry_budget: RetryBudget,
    queue: WaitQueue,
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
            now: Time::EPOCH,
            actions: Vec::new(),
            ticks: TickSchedule::new(),
            watch_retry: WatchRetry::new(),
            fleet: ServerRegistry::new(),
            latency: FleetLatency::new(class_count),
            slow_start: SlowStart::new(),
            suspicion: SuspicionTracker::new(),
            load_reports: LoadReports::default(),
            load_polling: LoadPolling::default(),
            router: Router::default(),
            requests: BTreeMap::new(),
            in_flight: AttemptsInFlight::default(),
            objectives: ObjectiveDeadlines::new(class_count),
            admission: AdmissionControl::new(settings.balancer_count),
            shedder: LoadShedder::new(class_count, settings.tenants.len()),
            retry_budget: RetryBudget::new(),
            queue: WaitQueue::default(),
            settings,
        })
    }

    /// To be called once, before the first event; appends what is to be done.
    pub fn start(&mut self, now: Time, out: &mut Vec<Action>) {
        self.now = now;
        if self.settings.discovery_mode == DiscoveryMode::OnRequest {
            self.actions.push(Action::WatchEndpoints);
        }
        self.schedule_next_tick();
        out.append(&mut self.actions);
    }

    /// Handles an event that happened at `now` and appends what is to be done about it.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::Request(request) => self.accept(request),
            Event::FirstByte { request, attempt } => self.bind_to_stream(request, attempt),
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
                self.end_health_check(server, outcome, load_report.as_ref());
            }
            Event::Endpoints(update) => self.update_endpoints(update),
        }
        out.append(&mut self.actions);
    }

    /// The periodic work, in this order: the watch, what is learned of the fleet as a whole, overdue
    /// attempts, and the queue.
    fn tick(&mut self) {
        if !self.ticks.is_due(self.now) {
            return;
        }
        if self.watch_retry.take_due(self.now) {
            self.actions.push(Action::WatchEndpoints);
        }
        self.latency.refresh_median(self.fleet.serving_states().map(|server| &server.latency));
        self.measure_capacity();
        self.shedder.rank_classes(&self.settings, &self.latency);
        self.handle_overdue_attempts();
        self.drain_queue();
        self.schedule_next_tick();
    }

    fn schedule_next_tick(&mut self) {
        let at = self.ticks.schedule_next(self.now, !self.queue.is_empty());
        self.actions.push(Action::SetTimer { at, timer: TimerId::Tick });
    }

    fn schedule_tick_soon(&mut self) {
        if let Some(at) = self.ticks.schedule_soon(self.now) {
            self.actions.push(Action::SetTimer { at, timer: TimerId::Tick });
        }
    }

    fn timeliness(&self) -> Timeliness<'_> {
        Timeliness { now: self.now, settings: &self.settings, latency: &self.latency }
    }
}

#[cfg(test)]
mod tests;
