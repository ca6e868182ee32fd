//! Simulated clients: the requests that they send, and those that they give up.

use super::schedule::ScheduledEvent;
use super::simulation::Simulation;
use balancer_core::{
    AttemptNumber, ClassId, Event, Request, RequestId, RoutingKey, ServerId, Span, TenantId, Time,
};
use std::collections::BTreeMap;

/// An attempt of a request that a server has.
#[derive(Clone, Copy)]
pub struct InFlightAttempt {
    pub server: ServerId,
    pub sent_at: Time,
}

/// A request as its client sees it.
#[derive(Default)]
pub struct ClientRequest {
    pub attempt_count: u32,
    pub has_ended: bool,
    pub is_streaming: bool,
    pub in_flight: BTreeMap<u32, InFlightAttempt>,
}

impl Simulation {
    /// Sends a request and schedules the next one.
    pub fn send_next_request(&mut self) {
        if self.next_request >= self.scenario.request_count {
            return;
        }
        let mean_gap_ms = self.scenario.mean_arrival_gap_ms;
        let gap = -(1.0 - self.rng.f64()).ln() * mean_gap_ms / self.arrival_rate_factor;
        self.schedule(gap, ScheduledEvent::Arrival);
        let request = self.draw_request();
        let id = request.id;
        let is_class_streaming = self.scenario.settings.classes[request.class.0].is_streaming;
        self.next_request += 1;
        self.requests.insert(id, ClientRequest::default());
        if self.rng.u32(0..40) == 0 {
            let after_ms = self.rng.f64() * 300.0;
            self.schedule(after_ms, ScheduledEvent::Disconnect(id));
        }
        if is_class_streaming && self.rng.u32(0..4) == 0 {
            let after_ms = 5.0 + self.rng.f64() * 20.0;
            self.schedule(after_ms, ScheduledEvent::FirstByte(id));
        }
        self.handle(Event::Request(request));
    }

    fn draw_request(&mut self) -> Request {
        let (rng, settings) = (&mut self.rng, &self.scenario.settings);
        let class = rng.usize(0..settings.classes.len());
        let timeout_factor = if rng.u32(0..10) == 0 { rng.f64() } else { self.client_timeout_factor };
        let time_left = settings.classes[class].deadline * timeout_factor;
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

    /// A client gives its request up, if it has not ended.
    pub fn disconnect(&mut self, request: RequestId) {
        if self.requests.get(&request).is_some_and(|client_request| !client_request.has_ended) {
            self.end_request(request);
            self.handle(Event::ClientDisconnected { request });
        }
    }

    /// The answer to the last attempt of a request begins to stream.
    pub fn begin_stream(&mut self, request: RequestId) {
        let Some(client_request) = self.requests.get_mut(&request) else { return };
        if client_request.has_ended || client_request.attempt_count == 0 {
            return;
        }
        client_request.is_streaming = true;
        let attempt = AttemptNumber(client_request.attempt_count - 1);
        self.handle(Event::FirstByte { request, attempt });
    }

    pub fn end_request(&mut self, request: RequestId) {
        self.request_mut(request).has_ended = true;
    }

    pub fn request_mut(&mut self, request: RequestId) -> &mut ClientRequest {
        self.requests.get_mut(&request).expect("a client has sent it")
    }
}
