//! The driver connects the [`Balancer`] to real sockets. It passes events to the balancer and carries out the
//! actions that the balancer returns.
//!
//! The balancer makes all decisions. The driver runs on one thread and carries out all actions of an event
//! before the balancer handles the next event. Carrying out an action never calls the balancer directly: the
//! results of the action are queued as events.

mod endpoint_watch;
mod event_queue;
mod notice_text;
mod outgoing;
mod requests;
mod timers;

use crate::activity::{self, ActivityLog};
use crate::clock::Clock;
use crate::config::Config;
use crate::discovery::{WatchEvent, WatchHandler};
use crate::endpoint_list::EndpointList;
use crate::logging::{self, log_line};
use crate::memory::MemoryBudget;
use crate::request::{ClientRequest, SubmittedRequest};
use crate::upstream::{AttemptResult, ConnectionPool, PoolLimits, ServerClient};
use balancer_core::{
    Action, AttemptId, Balancer, ClassId, Effect, Endpoint, EndpointUpdate, Event, Notice, Outcome,
    RequestId, ServerId, SettingsError, Span,
};
use balancer_settings::HostSettings;
use endpoint_watch::EndpointWatch;
use event_queue::EventQueue;
use notice_text::format_notice;
use outgoing::build_outgoing_request;
use requests::{RequestTracker, StartedAttempt};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use timers::Timers;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// The interval at which connections that have been idle for too long are closed and waiting log lines are
/// written.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(500);

/// A running balancer, with the connections, timers and requests that its actions refer to.
pub struct Driver {
    activity: ActivityLog,
    clock: Clock,
    host_settings: HostSettings,
    /// The effect of each request class, indexed by [`ClassId`].
    effects: Vec<Effect>,
    /// The balancer and the events that it has not handled yet.
    events: RefCell<EventQueue>,
    timers: Timers,
    requests: RefCell<RequestTracker>,
    endpoint_watch: RefCell<EndpointWatch>,
    client: ServerClient,
}

/// The deadlines of an attempt.
#[derive(Clone, Copy)]
struct AttemptDeadlines {
    /// The moment at which the attempt times out.
    timeout_at: Instant,
    /// The deadline for writing the last byte of the attempt, if there is one.
    write_by: Option<Instant>,
}

impl Driver {
    /// Creates a driver and starts its balancer with the cached endpoint list of the configuration. The
    /// driver holds at most `max_connections` connections to servers at a time. Connections and responses
    /// take their memory from `memory`.
    ///
    /// Timers are handled only while [`Driver::run`] runs.
    ///
    /// # Errors
    ///
    /// Returns an error if the balancer does not accept the settings.
    pub fn start(
        config: Config,
        max_connections: usize,
        memory: MemoryBudget,
    ) -> Result<Rc<Self>, SettingsError> {
        let clock = Clock::start();
        let host_settings = config.host_settings;
        let limits = PoolLimits {
            max_connections,
            connect_timeout: Duration::from_micros(host_settings.connect_timeout.as_micros()),
            keepalive: Duration::from_micros(host_settings.keepalive.as_micros()),
        };
        let pool = ConnectionPool::new(limits, memory.clone());
        let effects = config.settings.classes.iter().map(|class| class.effect).collect();
        let mut balancer = Balancer::new(config.settings, config.seed)?;
        let mut start_actions = Vec::new();
        balancer.start(clock.now(), &mut start_actions);
        let driver = Rc::new(Driver {
            activity: ActivityLog::new(config.name, memory.clone()),
            clock,
            effects,
            events: RefCell::new(EventQueue::new(balancer)),
            timers: Timers::default(),
            requests: RefCell::default(),
            endpoint_watch: RefCell::new(EndpointWatch::new(
                config.discovery_address,
                config.cached_endpoints.version,
            )),
            client: ServerClient::new(pool, memory, host_settings.load_report_fields.clone()),
            host_settings,
        });
        let endpoints = driver.update_servers(&config.cached_endpoints);
        for action in start_actions {
            driver.carry_out(&action);
        }
        driver.handle_event(Event::Endpoints(EndpointUpdate::Cached(endpoints)));
        Ok(driver)
    }

    /// Returns the log of what is not served.
    pub fn activity(&self) -> &ActivityLog {
        &self.activity
    }

    /// Returns the settings that the host of the balancer needs: names and connection timeouts.
    pub fn host_settings(&self) -> &HostSettings {
        &self.host_settings
    }

    /// Returns the effect of processing a request of this class more than once.
    pub fn effect_of(&self, class: ClassId) -> Effect {
        self.effects[class.0]
    }

    /// Returns whether the endpoint list contains a server that accepts new requests.
    pub fn is_ready(&self) -> bool {
        self.client.pool().has_serving_server()
    }

    /// Closes the connection to a server that has been idle for longest, so that its memory can be used.
    /// Returns `false` if no connection is idle.
    pub fn close_idle_server_connection(&self) -> bool {
        self.client.pool().close_least_recently_used()
    }

    /// Submits a request to the balancer. The returned handle receives the final response.
    pub fn submit(self: &Rc<Self>, request: ClientRequest) -> SubmittedRequest {
        let request = Rc::new(request);
        let time_left = self.clock.time_of(request.deadline).since(self.clock.now());
        let submitted = self.requests.borrow_mut().open(request.clone());
        self.handle_event(Event::Request(request.to_balancer_request(submitted.id, time_left)));
        submitted
    }

    /// Closes a request that no longer needs a final response, because the client has disconnected or the
    /// agent has stopped waiting. Has no effect on a request that is already closed.
    pub fn disconnect(self: &Rc<Self>, request: RequestId) {
        let was_pending = self.requests.borrow_mut().disconnect(request);
        if was_pending {
            self.handle_event(Event::ClientDisconnected { request });
        }
    }

    /// Changes the address of discovery and starts a watch there, which begins with the complete endpoint
    /// list. The known servers stay in use until that list arrives. An unchanged address changes nothing.
    pub fn set_discovery_address(self: &Rc<Self>, address: SocketAddr) {
        self.endpoint_watch.borrow_mut().set_discovery_address(address, self.clone());
    }

    /// Passes due timers to the balancer, closes connections that have been idle for too long, and writes the
    /// log lines that wait. Never returns.
    pub async fn run(self: Rc<Self>) {
        let mut next_maintenance = Instant::now() + MAINTENANCE_INTERVAL;
        loop {
            self.timers.wait(&self.clock, next_maintenance).await;
            self.queue_due_timers();
            self.handle_events();
            if Instant::now() >= next_maintenance {
                self.client.pool().close_stale();
                self.activity.end_interval_if_due();
                logging::write_pending_lines();
                next_maintenance = Instant::now() + MAINTENANCE_INTERVAL;
            }
        }
    }

    /// Queues the due timers. The progress of responses comes before them, because the balancer looks for
    /// overdue attempts when a timer is due.
    fn queue_due_timers(&self) {
        let now = self.clock.now();
        let progressed = self.requests.borrow().take_response_progress();
        let mut events = self.events.borrow_mut();
        for AttemptId { request, attempt } in progressed {
            events.push(Event::ResponseProgress { request, attempt });
        }
        while let Some(timer) = self.timers.pop_due(now) {
            events.push(Event::TimerDue(timer));
        }
    }

    /// Queues an event, and lets the balancer handle all queued events.
    fn handle_event(self: &Rc<Self>, event: Event) {
        self.events.borrow_mut().push(event);
        self.handle_events();
    }

    /// Lets the balancer handle the queued events in order. The actions of each event are carried out before
    /// the next event is handled.
    fn handle_events(self: &Rc<Self>) {
        let mut actions = Vec::new();
        while self.events.borrow_mut().handle_next(self.clock.now(), &mut actions) {
            for action in actions.drain(..) {
                self.carry_out(&action);
            }
        }
    }

    fn carry_out(self: &Rc<Self>, action: &Action) {
        match *action {
            Action::Send { request, server, timeout_at, write_by } => {
                let deadlines = AttemptDeadlines {
                    timeout_at: self.clock.instant_of(timeout_at),
                    write_by: write_by.map(|write_by| self.clock.instant_of(write_by)),
                };
                self.send(request, server, deadlines);
            }
            Action::Cancel { request, attempt } => {
                self.requests.borrow().cancel_attempt(AttemptId { request, attempt });
            }
            Action::Reject { request, retry_after } => {
                self.requests.borrow_mut().reject(request, retry_after);
            }
            Action::Fail { request } => self.requests.borrow_mut().fail(request),
            Action::SetTimer { at, timer } => self.timers.set(at, timer),
            Action::CheckHealth { server } => self.check_health(server),
            Action::CloseIdle { server } => self.client.pool().close_idle(server),
            Action::WatchEndpoints => self.endpoint_watch.borrow_mut().start(self.clone()),
            // Agents cannot exchange messages, and the settings of a deployment disable gossip.
            Action::Gossip { .. } => {}
            Action::Notify(notice) => self.log_notice(&notice),
        }
    }

    /// Sends an attempt to a server in a separate task.
    fn send(self: &Rc<Self>, request: RequestId, server: ServerId, deadlines: AttemptDeadlines) {
        let AttemptDeadlines { timeout_at, write_by } = deadlines;
        let Some(attempt) = self.requests.borrow_mut().start_attempt(request, write_by) else { return };
        let sent_at = Instant::now();
        let outgoing = build_outgoing_request(&attempt.request);
        let driver = self.clone();
        spawn_local(async move {
            let result = driver.client.send_attempt(server, outgoing, timeout_at, &attempt.progress).await;
            if !result.outcome.proves_not_run() {
                attempt.request.record_possible_run();
            }
            if result.outcome != Outcome::Success {
                driver.log_failed_attempt(&attempt, server, result.outcome);
            }
            driver.end_attempt(attempt.id, result, elapsed_since(sent_at));
        });
    }

    fn log_failed_attempt(&self, attempt: &StartedAttempt, server: ServerId, outcome: Outcome) {
        let endpoint_watch = self.endpoint_watch.borrow();
        let server = endpoint_watch.server_names().name(server).unwrap_or_default();
        let id = attempt.request.id();
        self.activity.record(&activity::Event::AttemptFailed {
            id,
            attempt: attempt.id.attempt,
            server,
            outcome,
        });
    }

    /// Records the result of an attempt and reports the outcome to the balancer.
    fn end_attempt(self: &Rc<Self>, id: AttemptId, result: AttemptResult, elapsed: Span) {
        self.requests.borrow_mut().end_attempt(id, result.outcome, result.response);
        let is_request_finished = !self.requests.borrow().is_pending(id.request);
        self.handle_event(Event::AttemptEnded {
            request: id.request,
            attempt: id.attempt,
            outcome: result.outcome,
            elapsed,
            load_report: result.load_report,
            is_request_finished,
        });
    }

    /// Sends a health check to a server in a separate task.
    fn check_health(self: &Rc<Self>, server: ServerId) {
        let driver = self.clone();
        spawn_local(async move {
            let sent_at = Instant::now();
            let result = driver.client.check_health(server).await;
            driver.handle_event(Event::HealthChecked {
                server,
                outcome: result.outcome,
                elapsed: elapsed_since(sent_at),
                load_report: result.load_report,
            });
        });
    }

    fn log_notice(&self, notice: &Notice) {
        let endpoint_watch = self.endpoint_watch.borrow();
        log_line!("{}", format_notice(notice, endpoint_watch.server_names()));
    }

    /// Applies a received endpoint list to the server names and the connection pool, and returns the entries
    /// of the list in the balancer's type.
    fn update_servers(&self, list: &EndpointList) -> Vec<Endpoint> {
        let pool = self.client.pool();
        self.endpoint_watch.borrow_mut().update_servers(list, &self.host_settings, pool)
    }
}

impl WatchHandler for Driver {
    fn handle_watch_event(self: Rc<Self>, event: WatchEvent) {
        let update = match event {
            WatchEvent::Failed => EndpointUpdate::Failed,
            WatchEvent::Endpoints(list) => {
                let endpoints = self.update_servers(&list);
                if list.is_complete {
                    EndpointUpdate::Complete(endpoints)
                } else {
                    EndpointUpdate::Changes(endpoints)
                }
            }
        };
        self.handle_event(Event::Endpoints(update));
    }
}

fn elapsed_since(instant: Instant) -> Span {
    Span::from_micros(instant.elapsed().as_micros() as u64)
}
