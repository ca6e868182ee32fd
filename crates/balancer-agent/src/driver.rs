//! The one owner of the [`Balancer`]: hands it what happens on the sockets, and carries out what it decides.
//!
//! Nothing is decided here. Everything runs on one thread, so an event is handled, and its actions are
//! carried out, before anything else happens; an action never calls back into the balancer, its results are
//! queued as events.

mod outgoing;
mod requests;
mod servers;
mod timers;

use crate::clock::Clock;
use crate::config::Config;
use crate::discovery::{Discovery, WatchEvent, WatchListener};
use crate::endpoint_list::EndpointList;
use crate::request::{ClientRequest, FinalAnswer};
use crate::upstream::{AttemptOutcome, AttemptProgress, ConnectionPool, PoolLimits, ServerClient};
use balancer_core::{
    Action, Balancer, ClassId, Effect, Endpoint, EndpointUpdate, Event, Outcome, Request, RequestId,
    ServerId, SettingsError, Span, Time,
};
use balancer_settings::HostSettings;
use hyper::StatusCode;
use outgoing::outgoing_request;
use requests::{AttemptKey, RequestTable};
use servers::ServerDirectory;
use std::cell::RefCell;
use std::collections::{HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use timers::TimerQueue;
use tokio::sync::{oneshot, Notify};
use tokio::time::{sleep_until, Instant};

/// Connections that have been idle for too long are closed this often.
const CLOSE_STALE_INTERVAL: Duration = Duration::from_millis(500);

struct State {
    balancer: Balancer,
    /// Events that the balancer has not been handed yet.
    events: VecDeque<Event>,
    timers: TimerQueue,
    requests: RequestTable,
    servers: ServerDirectory,
    discovery: Discovery,
    /// The version of the endpoint list; none after discovery has moved, for versions are each service's own.
    list_version: Option<u64>,
}

/// Drives the balancer.
pub struct Driver {
    clock: Clock,
    host_settings: HostSettings,
    /// The effect of each class.
    effects: Vec<Effect>,
    client: ServerClient,
    state: RefCell<State>,
    timer_changed: Notify,
}

impl Driver {
    /// A driver that has the endpoint list that the configuration caches, and may hold so many connections to
    /// servers.
    ///
    /// # Errors
    ///
    /// If the balancer cannot work with the settings.
    pub fn start(config: Config, max_connections: usize) -> Result<Rc<Self>, SettingsError> {
        let clock = Clock::start();
        let host_settings = config.host_settings;
        let pool = ConnectionPool::new(PoolLimits {
            max_connections,
            connect_timeout: Duration::from_micros(host_settings.connect_timeout.0),
            keepalive: Duration::from_micros(host_settings.keepalive.0),
        });
        let effects = config.settings.classes.iter().map(|class| class.effect).collect();
        let mut balancer = Balancer::new(config.settings, config.seed)?;
        let mut actions = Vec::new();
        balancer.start(clock.now(), &mut actions);
        let driver = Rc::new(Driver {
            clock,
            effects,
            client: ServerClient::new(pool, host_settings.load_report_fields.clone()),
            host_settings,
            state: RefCell::new(State {
                balancer,
                events: VecDeque::new(),
                timers: TimerQueue::default(),
                requests: RequestTable::default(),
                servers: ServerDirectory::default(),
                discovery: Discovery::new(config.discovery),
                list_version: None,
            }),
            timer_changed: Notify::new(),
        });
        driver.start_with(&config.cached_endpoints, actions);
        Ok(driver)
    }

    fn start_with(self: &Rc<Self>, cached_endpoints: &EndpointList, actions: Vec<Action>) {
        let mut state = self.state.borrow_mut();
        let endpoints = self.update_servers(&mut state, cached_endpoints);
        state.events.push_back(Event::Endpoints(EndpointUpdate::Cached(endpoints)));
        for action in actions {
            self.carry_out(&mut state, action);
        }
        drop(state);
        self.handle_events();
    }

    /// Names and limits of the settings that only sockets need.
    pub fn host_settings(&self) -> &HostSettings {
        &self.host_settings
    }

    /// What repeating a request of a class would do.
    pub fn effect_of(&self, class: ClassId) -> Effect {
        self.effects[class.0]
    }

    /// Whether there is a server to send to.
    pub fn is_ready(&self) -> bool {
        self.client.pool().has_server()
    }

    /// Hands a request to the balancer; its answer comes over the channel.
    pub fn submit(self: &Rc<Self>, request: ClientRequest) -> (RequestId, oneshot::Receiver<FinalAnswer>) {
        let mut arrival = Request {
            id: RequestId(0),
            class: request.class,
            tenant: request.tenant,
            routing_key: request.routing_key,
            cost_hint: request.cost_hint,
            is_client_retry: request.is_client_retry,
            time_left: self.clock.time_of(request.deadline).since(self.clock.now()),
        };
        let (id, answer) = self.state.borrow_mut().requests.open(request);
        arrival.id = id;
        self.handle_event(Event::Request(arrival));
        (id, answer)
    }

    /// The client no longer waits, or must not wait longer.
    pub fn disconnect(self: &Rc<Self>, request: RequestId) {
        let was_open = self.state.borrow_mut().requests.disconnect(request);
        if was_open {
            self.handle_event(Event::ClientDisconnected { request });
        }
    }

    /// Discovery has moved: the new one is watched from its complete list on. What is known stands until that
    /// comes.
    pub fn relocate_discovery(self: &Rc<Self>, address: SocketAddr) {
        let mut state = self.state.borrow_mut();
        state.list_version = None;
        state.discovery.relocate(address);
        state.discovery.watch(self.clone(), None);
    }

    /// Wakes the balancer when a timer is due, and closes stale connections; never ends.
    pub async fn run(self: Rc<Self>) {
        let mut next_close = Instant::now() + CLOSE_STALE_INTERVAL;
        loop {
            let next_timer = self.state.borrow().timers.next_due().map(|at| self.clock.instant_of(at));
            tokio::select! {
                () = sleep_until(next_timer.map_or(next_close, |at| at.min(next_close))) => {}
                () = self.timer_changed.notified() => {}
            }
            self.queue_due_timers();
            self.handle_events();
            if Instant::now() >= next_close {
                self.client.pool().close_stale();
                next_close = Instant::now() + CLOSE_STALE_INTERVAL;
            }
        }
    }

    fn queue_due_timers(&self) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        while let Some(timer) = state.timers.take_due(now) {
            state.events.push_back(Event::TimerDue(timer));
        }
    }

    fn handle_event(self: &Rc<Self>, event: Event) {
        self.state.borrow_mut().events.push_back(event);
        self.handle_events();
    }

    /// Hands the queued events to the balancer, in order, and carries out what it decides.
    fn handle_events(self: &Rc<Self>) {
        let mut state = self.state.borrow_mut();
        let mut actions = Vec::new();
        while let Some(event) = state.events.pop_front() {
            state.balancer.handle(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(&mut state, action);
            }
        }
    }

    fn carry_out(self: &Rc<Self>, state: &mut State, action: Action) {
        match action {
            Action::Send { request, server, timeout_at, write_by } => {
                self.send(state, request, server, timeout_at, write_by);
            }
            Action::Cancel { request, attempt } => {
                state.requests.cancel_attempt(AttemptKey { request, attempt });
            }
            Action::Reject { request, retry_after } => {
                state.requests.answer(request, FinalAnswer::Rejected { retry_after });
            }
            Action::Fail { request } => {
                let has_timed_out = state.requests.has_timed_out(request);
                let status =
                    if has_timed_out { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY };
                state.requests.answer(request, FinalAnswer::Failed(status));
            }
            Action::SetTimer { at, timer } => {
                if state.timers.set(at, timer) {
                    self.timer_changed.notify_one();
                }
            }
            Action::CheckHealth { server } => self.check_health(server),
            Action::CloseIdle { server } => self.client.pool().close_idle(server),
            Action::WatchEndpoints => {
                let version = state.list_version;
                state.discovery.watch(self.clone(), version);
            }
            // Agents of this deployment have no way to talk to each other, and the settings say so.
            Action::Gossip { .. } => {}
            Action::Log { text } => eprintln!("{text}"),
        }
    }

    fn send(
        self: &Rc<Self>,
        state: &mut State,
        request: RequestId,
        server: ServerId,
        timeout_at: Time,
        write_by: Option<Time>,
    ) {
        let write_by = write_by.map(|write_by| self.clock.instant_of(write_by));
        let attempt = state.requests.start_attempt(request, || AttemptProgress::new(write_by));
        let Some(attempt) = attempt else { return };
        let sent_at = Instant::now();
        let deadline = self.clock.instant_of(timeout_at);
        let outgoing = outgoing_request(&attempt.request, deadline.saturating_duration_since(sent_at));
        let driver = self.clone();
        tokio::task::spawn_local(async move {
            let ended = driver.client.attempt(server, outgoing, deadline, &attempt.progress).await;
            driver.end_attempt(attempt.key, ended, sent_at);
        });
    }

    /// An attempt is over: the first that is served answers its request.
    fn end_attempt(self: &Rc<Self>, key: AttemptKey, ended: AttemptOutcome, sent_at: Instant) {
        let elapsed = elapsed_since(sent_at);
        let mut state = self.state.borrow_mut();
        state.requests.end_attempt(key, ended.outcome == Outcome::TimedOut);
        if let Some(answer) = ended.answer {
            state.requests.answer(key.request, FinalAnswer::Served(answer));
        }
        let is_request_finished = !state.requests.is_open(key.request);
        drop(state);
        self.handle_event(Event::AttemptEnded {
            request: key.request,
            attempt: key.attempt,
            outcome: ended.outcome,
            elapsed,
            load_report: ended.load_report,
            is_request_finished,
        });
    }

    fn check_health(self: &Rc<Self>, server: ServerId) {
        let driver = self.clone();
        tokio::task::spawn_local(async move {
            let sent_at = Instant::now();
            let AttemptOutcome { outcome, load_report, .. } = driver.client.check_health(server).await;
            let elapsed = elapsed_since(sent_at);
            driver.handle_event(Event::HealthChecked { server, outcome, elapsed, load_report });
        });
    }

    /// Takes in where the servers of a list are reached, and returns the list in the balancer's terms.
    fn update_servers(&self, state: &mut State, list: &EndpointList) -> Vec<Endpoint> {
        state.list_version = Some(list.version);
        let endpoints = state.servers.update(list, &self.host_settings);
        let pool = self.client.pool();
        for (endpoint, entry) in endpoints.iter().zip(&list.entries) {
            pool.update_server(endpoint.server, entry);
        }
        if list.is_complete {
            let named: HashSet<ServerId> = endpoints.iter().map(|endpoint| endpoint.server).collect();
            pool.remove_unlisted_servers(&named);
        }
        endpoints
    }
}

impl WatchListener for Driver {
    fn handle_watch_event(self: Rc<Self>, event: WatchEvent) {
        let mut state = self.state.borrow_mut();
        let update = match event {
            WatchEvent::Failed => EndpointUpdate::Failed,
            WatchEvent::Endpoints(list) => {
                let endpoints = self.update_servers(&mut state, &list);
                if list.is_complete {
                    EndpointUpdate::Complete(endpoints)
                } else {
                    EndpointUpdate::Changes(endpoints)
                }
            }
        };
        drop(state);
        self.handle_event(Event::Endpoints(update));
    }
}

fn elapsed_since(instant: Instant) -> Span {
    Span(instant.elapsed().as_micros() as u64)
}
