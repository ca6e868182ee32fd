//! The agent: its watch of discovery, and a balancer that decides where requests go.

use super::discovery_service::{address, DiscoveryService, InMemoryConnector};
use super::DRAIN_GRACE;
use crate::discovery::{Discovery, WatchEvent, WatchHandler};
use crate::endpoint_list::{EndpointList, EntryStatus};
use balancer_core::{
    Action, AttemptNumber, Balancer, ClassId, DiscoveryMode, Endpoint, EndpointStatus, EndpointUpdate, Event,
    Outcome, Request, RequestId, ServerId, Settings, Span, Time, TimerId,
};
use std::cell::{Cell, Ref, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::time::Instant;

/// The time of the balancer's clock at the start.
const START_TIME: Time = Time::from_millis(50_000);
/// How long a client waits for a response.
const REQUEST_TIMEOUT: Span = Span::from_millis(1_000);
/// How long the response to a request takes.
const RESPONSE_TIME: Span = Span::from_millis(1);

/// An agent without sockets. Each request is served at once.
pub struct TestAgent {
    discovery: RefCell<Discovery<InMemoryConnector>>,
    discovery_address: Cell<SocketAddr>,
    address_changes: RefCell<Vec<Instant>>,
    balancer: RefCell<Balancer>,
    timers: RefCell<BTreeSet<(Time, TimerId)>>,
    /// The servers that the last lists report as serving.
    serving: RefCell<BTreeSet<usize>>,
    started_at: Instant,
    request_count: Cell<u64>,
}

impl TestAgent {
    /// Starts an agent that has cached the list of `service` and has its address with number 1.
    pub fn start(service: Rc<DiscoveryService>, seed: u64) -> Rc<Self> {
        let discovery_address = address(1);
        let cached_version = service.fleet().version();
        let servers: BTreeSet<usize> = (0..service.fleet().server_count()).collect();
        let settings = Settings {
            discovery_mode: DiscoveryMode::OnRequest,
            max_poll_interval: Span::from_micros(DRAIN_GRACE.as_micros() as u64),
            drain_grace: Span::from_micros(DRAIN_GRACE.as_micros() as u64),
            ..Settings::default()
        };
        let discovery =
            Discovery::with_connector(InMemoryConnector(service), discovery_address, cached_version);
        let agent = Rc::new(TestAgent {
            discovery: RefCell::new(discovery),
            discovery_address: Cell::new(discovery_address),
            address_changes: RefCell::default(),
            balancer: RefCell::new(Balancer::new(settings, seed).expect("valid settings")),
            timers: RefCell::default(),
            serving: RefCell::new(servers.clone()),
            started_at: Instant::now(),
            request_count: Cell::new(0),
        });
        let mut actions = Vec::new();
        agent.balancer.borrow_mut().start(agent.now(), &mut actions);
        agent.carry_out(&actions);
        let endpoints = servers.into_iter().map(|server| Endpoint::serving(ServerId(server as u32)));
        agent.handle(Event::Endpoints(EndpointUpdate::Cached(endpoints.collect())));
        agent
    }

    /// Returns whether the agent takes a server for one that accepts requests.
    pub fn is_serving(&self, server: usize) -> bool {
        self.serving.borrow().contains(&server)
    }

    /// Returns when the address of discovery changed.
    pub fn address_changes(&self) -> Ref<'_, Vec<Instant>> {
        self.address_changes.borrow()
    }

    /// Gives the agent a new configuration with this address of discovery.
    pub fn reload(self: &Rc<Self>, address: SocketAddr) {
        if self.discovery_address.replace(address) != address {
            self.address_changes.borrow_mut().push(Instant::now());
        }
        let mut discovery = self.discovery.borrow_mut();
        discovery.set_address(address);
        discovery.watch(self.clone());
    }

    /// Handles the due timers and a request. Returns the server that the request was sent to, if any.
    pub fn send_request(self: &Rc<Self>) -> Option<usize> {
        self.handle_due_timers();
        let request = RequestId(self.request_count.get());
        self.request_count.set(request.0 + 1);
        let actions = self.handle(Event::Request(Request::new(request, ClassId(0), REQUEST_TIMEOUT)));
        let server = actions.iter().find_map(|action| match action {
            Action::Send { server, .. } => Some(server.0 as usize),
            _ => None,
        })?;
        self.handle(Event::AttemptEnded {
            request,
            attempt: AttemptNumber(0),
            outcome: Outcome::Success,
            elapsed: RESPONSE_TIME,
            load_report: None,
            is_request_finished: true,
        });
        Some(server)
    }

    fn now(&self) -> Time {
        START_TIME + Span::from_micros(self.started_at.elapsed().as_micros() as u64)
    }

    fn handle_due_timers(self: &Rc<Self>) {
        loop {
            let first = self.timers.borrow().first().copied();
            let Some(due) = first.filter(|(at, _)| *at <= self.now()) else { return };
            self.timers.borrow_mut().remove(&due);
            self.handle(Event::TimerDue(due.1));
        }
    }

    fn handle(self: &Rc<Self>, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.borrow_mut().handle(self.now(), event, &mut actions);
        self.carry_out(&actions);
        actions
    }

    fn carry_out(self: &Rc<Self>, actions: &[Action]) {
        for action in actions {
            match action {
                Action::SetTimer { at, timer } => {
                    self.timers.borrow_mut().insert((*at, *timer));
                }
                Action::WatchEndpoints => self.discovery.borrow_mut().watch(self.clone()),
                _ => {}
            }
        }
    }

    /// Applies a list and returns its entries in the balancer's type.
    fn apply(&self, list: &EndpointList) -> Vec<Endpoint> {
        let mut serving = self.serving.borrow_mut();
        if list.is_complete {
            serving.clear();
        }
        let mut endpoints = Vec::new();
        for entry in &list.entries {
            let server: usize = entry.name.parse().expect("the name of a server is its number");
            let status = match entry.status {
                EntryStatus::Serving => EndpointStatus::Serving,
                EntryStatus::Draining => EndpointStatus::Draining,
                EntryStatus::Removed => EndpointStatus::Removed,
            };
            match status {
                EndpointStatus::Serving => serving.insert(server),
                _ => serving.remove(&server),
            };
            endpoints.push(Endpoint { status, ..Endpoint::serving(ServerId(server as u32)) });
        }
        endpoints
    }
}

impl WatchHandler for TestAgent {
    fn handle_watch_event(self: Rc<Self>, event: WatchEvent) {
        let update = match event {
            WatchEvent::Failed => EndpointUpdate::Failed,
            WatchEvent::Endpoints(list) if list.is_complete => EndpointUpdate::Complete(self.apply(&list)),
            WatchEvent::Endpoints(list) => EndpointUpdate::Changes(self.apply(&list)),
        };
        self.handle(Event::Endpoints(update));
    }
}
