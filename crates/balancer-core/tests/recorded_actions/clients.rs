//! Simulated clients, their requests and the state of these requests.

use super::context::Context;
use super::scenarios::Scenario;
use super::schedule::{AttemptEnd, ScheduledEvent};
use balancer_core::{
    AttemptNumber, ClassId, Outcome, Request, RequestId, RoutingKey, ServerId, Span, TenantId, Time,
};
use std::collections::BTreeMap;

/// An attempt that has not ended.
#[derive(Clone, Copy)]
pub struct InFlightAttempt {
    /// The server that the attempt was sent to.
    pub server: ServerId,
    /// When the attempt was sent.
    pub sent_at: Time,
}

/// The state of a request that a client has sent.
#[derive(Default)]
struct ClientRequest {
    /// The number of attempts that the balancer has sent.
    attempt_count: u32,
    /// Whether the request needs no final response any more.
    is_finished: bool,
    /// Whether the response has begun to stream.
    is_streaming: bool,
    /// The attempts in flight.
    in_flight: BTreeMap<AttemptNumber, InFlightAttempt>,
}

/// All clients of a simulation.
pub struct Clients {
    /// How long clients wait for a response, as a fraction of the timeout of the request's class.
    pub timeout_fraction: f64,
    /// The arrival rate of requests, as a multiple of the rate that the scenario specifies.
    pub arrival_rate_factor: f64,
    scenario: Scenario,
    requests: BTreeMap<RequestId, ClientRequest>,
    /// The id of the next request.
    next_request: u64,
}

impl Clients {
    /// Creates clients that have sent no requests.
    pub fn new(scenario: &Scenario) -> Self {
        Clients {
            timeout_fraction: 1.0,
            arrival_rate_factor: 1.0,
            scenario: scenario.clone(),
            requests: BTreeMap::new(),
            next_request: 0,
        }
    }

    /// Returns whether all requests of the scenario have been sent.
    pub fn has_sent_all_requests(&self) -> bool {
        self.next_request >= self.scenario.request_count
    }

    /// Returns whether all requests that have been sent are finished.
    pub fn has_finished_all_requests(&self) -> bool {
        self.requests.values().all(|request| request.is_finished)
    }

    /// Sends a request. Schedules the arrival of the next request and, for some requests, the disconnection
    /// of the client or the first byte of a streamed response.
    pub fn send_request(&mut self, context: &mut Context) -> Request {
        let gap_ms = context.draw_gap_ms(self.scenario.mean_arrival_gap_ms) / self.arrival_rate_factor;
        context.schedule_after(gap_ms, ScheduledEvent::Arrival);
        let request = self.draw_request(&mut context.rng);
        self.next_request += 1;
        self.requests.insert(request.id, ClientRequest::default());
        if context.rng.u32(0..40) == 0 {
            let delay_ms = context.rng.f64() * 300.0;
            context.schedule_after(delay_ms, ScheduledEvent::Disconnect(request.id));
        }
        let is_class_streaming = self.scenario.settings.classes[request.class.0].is_streaming;
        if is_class_streaming && context.rng.u32(0..4) == 0 {
            let delay_ms = 5.0 + context.rng.f64() * 20.0;
            context.schedule_after(delay_ms, ScheduledEvent::FirstByte(request.id));
        }
        request
    }

    /// Draws a random request.
    fn draw_request(&self, rng: &mut fastrand::Rng) -> Request {
        let settings = &self.scenario.settings;
        let class = rng.usize(0..settings.classes.len());
        let timeout_fraction = if rng.u32(0..10) == 0 { rng.f64() } else { self.timeout_fraction };
        let time_left = settings.classes[class].timeout * timeout_fraction;
        let mut request = Request::new(RequestId(self.next_request), ClassId(class), time_left);
        if !settings.tenants.is_empty() {
            // Multiplication by 0 or 1 makes the first tenant the most frequent one.
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

    /// Finishes a request whose client disconnects. Returns whether the request was unfinished before.
    pub fn disconnect(&mut self, request: RequestId) -> bool {
        let is_unfinished = !self.is_finished(request);
        self.finish_request(request);
        is_unfinished
    }

    /// Starts to stream the response to the last attempt of a request. Returns the number of that attempt, or
    /// `None` if the request is finished or has had no attempt.
    pub fn begin_stream(&mut self, request: RequestId) -> Option<AttemptNumber> {
        let request = self.request_mut(request);
        if request.is_finished || request.attempt_count == 0 {
            return None;
        }
        request.is_streaming = true;
        Some(AttemptNumber(request.attempt_count - 1))
    }

    /// Records an attempt that the balancer has sent and returns the number of the attempt.
    pub fn start_attempt(&mut self, request: RequestId, attempt: InFlightAttempt) -> AttemptNumber {
        let request = self.request_mut(request);
        let number = AttemptNumber(request.attempt_count);
        request.attempt_count += 1;
        request.in_flight.insert(number, attempt);
        number
    }

    /// Returns an attempt of a request if the attempt has not ended.
    pub fn in_flight_attempt(&self, request: RequestId, number: AttemptNumber) -> Option<InFlightAttempt> {
        self.requests[&request].in_flight.get(&number).copied()
    }

    /// Ends an attempt. Finishes its request if the attempt succeeded or its response has begun to stream.
    /// Returns whether the attempt was in flight.
    pub fn end_attempt(&mut self, end: &AttemptEnd) -> bool {
        let request = self.request_mut(end.request);
        if request.in_flight.remove(&end.attempt).is_none() {
            return false;
        }
        request.is_finished |= end.outcome == Outcome::Success || request.is_streaming;
        true
    }

    /// Marks a request as finished.
    pub fn finish_request(&mut self, request: RequestId) {
        self.request_mut(request).is_finished = true;
    }

    /// Returns whether a request is finished.
    pub fn is_finished(&self, request: RequestId) -> bool {
        self.requests[&request].is_finished
    }

    fn request_mut(&mut self, request: RequestId) -> &mut ClientRequest {
        self.requests.get_mut(&request).expect("a client should have sent the request")
    }
}
