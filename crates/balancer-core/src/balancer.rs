//! The [`Balancer`]: dispatches events to the components of [`crate::policy`] and turns their decisions into
//! actions.
//!
//! All decision rules are in those components. This module only determines the order of the steps.

mod endpoints;
mod feedback;
mod health;
mod polling;
mod requests;
mod sending;

use crate::policy::admission::AdmissionControl;
use crate::policy::deadline::{ObjectiveTracker, Timeliness};
use crate::policy::fleet::ServerRegistry;
use crate::policy::latency::FleetLatency;
use crate::policy::requests::{ActiveRequest, AttemptsInFlight, EndedAttempt};
use crate::policy::retry::RetryBudget;
use crate::policy::routing::Router;
use crate::policy::server_load::{LoadPolling, LoadReports};
use crate::policy::shedding::LoadShedder;
use crate::policy::slow_start::SlowStart;
use crate::policy::suspicion::SuspicionTracker;
use crate::policy::tick::TickSchedule;
use crate::policy::wait_queue::WaitQueue;
use crate::policy::watch::WatchRetry;
use crate::{Action, AttemptId, DiscoveryMode, Event, RequestId, Settings, SettingsError, Time, TimerId};
use std::collections::BTreeMap;

/// A balancer, which decides where, when and how often requests are sent.
pub struct Balancer {
    settings: Settings,
    rng: fastrand::Rng,
    /// The time of the current event.
    now: Time,
    /// The actions that the current event has caused so far.
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
    /// The requests that have no final response yet.
    requests: BTreeMap<RequestId, ActiveRequest>,
    in_flight: AttemptsInFlight,
    objectives: ObjectiveTracker,
    admission: AdmissionControl,
    shedder: LoadShedder,
    retry_budget: RetryBudget,
    queue: WaitQueue,
}

impl Balancer {
    /// Creates a balancer. Balancers with equal settings, seeds and events return equal actions.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings are invalid; see [`SettingsError`].
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
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
            objectives: ObjectiveTracker::new(class_count),
            admission: AdmissionControl::new(settings.balancer_count),
            shedder: LoadShedder::new(class_count, settings.tenants.len()),
            retry_budget: RetryBudget::new(),
            queue: WaitQueue::default(),
            settings,
        })
    }

    /// Starts the balancer and appends its first actions to `out`. The host calls this once, before the
    /// first event.
    pub fn start(&mut self, now: Time, out: &mut Vec<Action>) {
        self.now = now;
        if self.settings.discovery_mode == DiscoveryMode::OnRequest {
            self.actions.push(Action::WatchEndpoints);
        }
        self.schedule_next_tick();
        out.append(&mut self.actions);
    }

    /// Handles an event that happened at `now` and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::Request(request) => self.handle_request(request),
            Event::FirstByte { request, attempt } => self.bind_to_stream(request, attempt),
            Event::ResponseProgress { request, attempt } => {
                self.record_response_progress(AttemptId { request, attempt });
            }
            Event::AttemptEnded { request, attempt, outcome, elapsed, load_report, is_request_finished } => {
                let id = AttemptId { request, attempt };
                self.end_attempt(&EndedAttempt { id, outcome, elapsed, load_report, is_request_finished });
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

    /// Does the periodic work if the next tick is due.
    ///
    /// The order of the steps is: reopen a broken watch if its backoff is over, refresh the estimates for
    /// the whole fleet, handle overdue attempts, and send queued requests.
    fn tick(&mut self) {
        if !self.ticks.is_due(self.now) {
            return;
        }
        if self.watch_retry.take_due(self.now) {
            self.actions.push(Action::WatchEndpoints);
        }
        self.latency.refresh_median(self.fleet.serving_states().map(|server| &server.latency));
        self.refresh_capacity();
        self.shedder.rank_classes(&self.settings, &self.latency);
        self.handle_overdue_attempts();
        self.drain_queue();
        self.schedule_next_tick();
    }

    /// Sets the timer for the next tick.
    fn schedule_next_tick(&mut self) {
        let at = self.ticks.schedule_next(self.now, !self.queue.is_empty());
        self.actions.push(Action::SetTimer { at, timer: TimerId::Tick });
    }

    /// Sets a timer for an earlier tick, unless the next tick is already due soon.
    fn schedule_tick_soon(&mut self) {
        if let Some(at) = self.ticks.schedule_soon(self.now) {
            self.actions.push(Action::SetTimer { at, timer: TimerId::Tick });
        }
    }

    /// Returns the state that determines whether requests can still get a response in time.
    fn timeliness(&self) -> Timeliness<'_> {
        Timeliness { now: self.now, settings: &self.settings, latency: &self.latency }
    }
}

#[cfg(test)]
mod tests;
