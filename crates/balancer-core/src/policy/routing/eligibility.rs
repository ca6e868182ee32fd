//! Which servers are eligible for a request.

use super::context::RoutingContext;
use super::request::RoutingRequest;
use crate::policy::concurrency::LimitScale;
use crate::policy::fleet::{FleetView, ServerIndex, ServerState};
use crate::policy::retry::RetryScope;
use crate::Effect;

impl RoutingContext<'_> {
    /// Returns whether a server is eligible: the request may be sent to it now.
    pub fn is_eligible(&self, index: ServerIndex, request: &RoutingRequest) -> bool {
        let server = &self.fleet[index];
        if !is_in_scope(server, request.permission.scope) || !server.endpoint.is_serving() {
            return false;
        }
        match self.view() {
            FleetView::Dense => self.is_eligible_in_dense_view(server, request),
            FleetView::Sparse => !server.limit.is_backing_off(self.now),
        }
    }

    /// Returns whether a server is eligible and no earlier attempt of the request was sent to it.
    pub fn is_eligible_and_untried(&self, index: ServerIndex, request: &RoutingRequest) -> bool {
        !request.has_tried(index) && self.is_eligible(index, request)
    }

    /// Returns whether ejection, slow start and the concurrency limit permit sending the request to a server.
    fn is_eligible_in_dense_view(&self, server: &ServerState, request: &RoutingRequest) -> bool {
        let is_idempotent = self.settings.class(request.class).effect == Effect::Idempotent;
        if !server.health.allows_request(self.now, is_idempotent) {
            return false;
        }
        let capacity_share = self.capacity_share(server);
        if self.slow_start.exceeds_share(&server.warm_up_work, capacity_share, request.work, self.now) {
            return false;
        }
        let scale = LimitScale { admission_probability: self.admission_probability, capacity_share };
        server.limit.has_capacity(self.now, server.in_flight, &scale)
    }
}

/// Returns whether the rules against duplicated effects permit another attempt at this server.
fn is_in_scope(server: &ServerState, scope: RetryScope) -> bool {
    match scope {
        RetryScope::Nowhere => false,
        RetryScope::Anywhere => true,
        RetryScope::Zone(zone) => server.endpoint.zone == zone,
        RetryScope::Cell(cell) => server.endpoint.cell == cell,
    }
}
