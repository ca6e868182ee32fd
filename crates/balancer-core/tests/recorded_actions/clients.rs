//! Simulated clients: the requests that they send and those that they give up.

use super::context::Context;
use super::scenarios::Scenario;
use super::schedule::{AttemptEnd, ScheduledEvent};
use balancer_core::{
    AttemptNumber, ClassId, Outcome, Request, RequestId, RoutingKey, ServerId, Span, TenantId, Time,
};
use std::collections::BTreeMap;

/// An attempt that a server has not answered.
#[derive(Clone, Copy)]
pub struct InFlightAttempt {
    pub server: ServerId,
    pub sent_at: Time,
}

/// The state of a request that a client has sent.
#[derive(Default)]
struct ClientRequest {
    attempt_count: u32,
    has_ended: bool,
    is_streaming: bool,
    in_flight: BTreeMap<AttemptNumber, InFlightAttempt>,
}

/// All clients of a simulation.
pub struct Clients {
    /// Clients wait for this fraction of their class's timeout.
    pub timeout_factor: f64,
    /// Requests arrive more often by this factor.
    pub arrival_rate_factor: f64,
    scenario: Scenario,
    requests: BTreeMap<RequestId, ClientRequest>,
    next_request: u64,
}

impl Clients {
    pub fn new(scenario: &Scenario) -> Self {
        Clients {
            timeout_factor: 1.0,
            arrival_rate_factor: 1.0,
            scenario: scenario.clone(),
            requests: BTreeMap::new(),
            next_request: 0,
        }
    }

    /// Whether all requests of the scenario have been sent.
    pub fn have_sent_all(&self) -> bool {
        self.next_request >= self.scenario.request_count
    }

    /// Whether all requests that have been sent have ended.
    pub fn are_all_answered(&self) -> bool {
        self.requests.values().all(|request| request.has_ended)
    }

    /// Sends a request and schedules what its client will do and the arrival of the next request.
    pub fn send_request(&mut self, context: &mut Context) -> Request {
        let gap_ms = context.draw_gap_ms(self.scenario.mean_arrival_gap_ms) / self.arrival_rate_factor;
        context.schedule_after(gap_ms, ScheduledEvent::Arrival);
        let request = self.draw_request(&mut context.rng);
        self.next_request += 1;
        self.requests.insert(request.id, ClientRequest::default());
        if context.rng.u32(0..40) == 0 {
            let after_ms = context.rng.f64() * 300.0;
            context.schedule_after(after_ms, ScheduledEvent::Disconnect(request.id));
        }
        let is_class_streaming = self.scenario.settings.classes[request.class.0].is_streaming;
        if is_class_streaming && context.rng.u32(0..4) == 0 {
            let after_ms = 5.0 + context.rng.f64() * 20.0;
            context.schedule_after(after_ms, ScheduledEvent::FirstByte(request.id));
        }
        request
    }

    fn draw_request(&self, rng: &mut fastrand::Rng) -> Request {
        let settings = &self.scenario.settings;
        let class = rng.usize(0..settings.classes.len());
        let timeout_factor = if rng.u32(0..10) == 0 { rng.f64() } else { self.timeout_factor };
        let time_left = settings.classes[class].timeout * timeout_factor;
        let mut request = Request::new(RequestId(self.next_request), ClassId(class), time_left);
        if !settings.tenants.is_empty() {
            // The product makes the first tenant the most frequent one.
            let tenant = rng.usize(0..settings.tenants.len()) * rng.usize(0..2);
            request.tenant = Some(TenantId(tenant));
        }
        if self.scenario.routing_key_count > 0 {
            request.routing_key = Some(RoutingKey(rng.u64(0..self.scenario.routing_key_count)));
        }
        if rng.u32(0..3) == 0 {
            request.cost_hint = Some(Span::from_millis_f64(5.0 + rng.f64() * 150.0));
        }
        request
    }

    /// Ends a request whose client disconnects; returns whether it had not ended before.
    pub fn disconnect(&mut self, request: RequestId) -> bool {
        let is_pending = !self.has_ended(request);
        self.end_request(request);
        is_pending
    }

    /// Starts to stream the response to the last attempt of a request; returns that attempt. `None` if the
    /// request has ended or has not been sent.
    pub fn begin_stream(&mut self, request: RequestId) -> Option<AttemptNumber> {
        let request = self.request_mut(request);
        if request.has_ended || request.attempt_count == 0 {
            return None;
        }
        request.is_streaming = true;
        Some(AttemptNumber(request.attempt_count - 1))
    }

    /// Records an attempt that the balancer has sent; returns its number.
    pub fn start_attempt(&mut self, request: RequestId, attempt: InFlightAttempt) -> AttemptNumber {
        let request = self.request_mut(request);
        let number = AttemptNumber(request.attempt_count);
        request.attempt_count += 1;
        request.in_flight.insert(number, attempt);
        number
    }

    pub fn in_flight_attempt(&self, request: RequestId, number: AttemptNumber) -> Option<InFlightAttempt> {
        self.requests[&request].in_flight.get(&number).copied()
    }

    /// Ends an attempt, and its request if that is answered; returns whether the attempt was in flight.
    pub fn end_attempt(&mut self, end: &AttemptEnd) -> bool {
        let request = self.request_mut(end.request);
        if request.in_flight.remove(&end.attempt).is_none() {
            return false;
        }
        request.has_ended |= end.outcome == Outcome::Success || request.is_streaming;
        true
    }

    pub fn end_request(&mut self, request: RequestId) {
        self.request_mut(request).has_ended = true;
    }

    pub fn has_ended(&self, request: RequestId) -> bool {
        self.requests[&request].has_ended
    }

    fn request_mut(&mut self, request: RequestId) -> &mut ClientRequest {
        self.requests.get_mut(&request).expect("a client has sent it")
    }
}
