//! Changes of the endpoint list, and updates of everything that depends on the set of servers.

use super::Balancer;
use crate::policy::fleet::ServerIndex;
use crate::policy::slow_start::capacity_share;
use crate::units::CapacityShare;
use crate::{Endpoint, EndpointUpdate};
use std::collections::BTreeSet;

impl Balancer {
    /// Handles a change of the endpoint list, or the failure of the watch.
    pub(super) fn update_endpoints(&mut self, update: EndpointUpdate) {
        match update {
            EndpointUpdate::Failed => {
                self.watch_retry.schedule(self.now, self.settings.max_poll_interval, &mut self.rng);
            }
            EndpointUpdate::Changes(endpoints) => self.apply_endpoints(endpoints, false),
            EndpointUpdate::Complete(endpoints) | EndpointUpdate::Cached(endpoints) => {
                self.apply_endpoints(endpoints, true);
            }
        }
    }

    /// Applies changed entries of the endpoint list, or the complete list if `is_complete`.
    fn apply_endpoints(&mut self, endpoints: Vec<Endpoint>, is_complete: bool) {
        self.watch_retry.reset_backoff();
        for restarted in self.fleet.update(self.now, endpoints, is_complete) {
            self.router.forget(restarted);
        }
        self.forget_removed();
        self.fleet.refresh_serving();
        let fleet = &self.fleet;
        self.router.retain(|server| fleet[server].endpoint.is_serving());
        self.refresh_capacity();
        self.refresh_view();
        self.drain_queue();
    }

    /// Forgets the servers that were removed a while ago and that no request or load poll refers to.
    fn forget_removed(&mut self) {
        let expired = self.fleet.expired_servers(self.now);
        if expired.is_empty() {
            return;
        }
        let referenced = self.referenced_servers();
        for server in expired.into_iter().filter(|server| !referenced.contains(server)) {
            self.fleet.forget(server);
            self.router.forget_with_keys(server);
        }
        self.suspicion.retain_zones(&self.fleet.zones());
        self.latency.retain_machine_kinds(&self.fleet.machine_kinds());
    }

    /// Returns the servers that active requests or load polls refer to.
    fn referenced_servers(&self) -> BTreeSet<ServerIndex> {
        let polled = self.load_polling.polled_servers();
        let attempts = self.requests.values().flat_map(|active| &active.attempts);
        polled.chain(attempts.map(|attempt| attempt.server)).collect()
    }

    /// Recomputes the capacity shares of the serving servers. Passes them to slow start, and their sum, which
    /// is the capacity of the serving fleet, to admission control.
    pub(super) fn refresh_capacity(&mut self) {
        let share_of = |endpoint| capacity_share(&self.settings, endpoint, self.now);
        let serving = self.fleet.serving_states();
        let shares: Vec<CapacityShare> = serving.map(|server| share_of(&server.endpoint)).collect();
        self.slow_start.count_warm_servers(&shares);
        self.admission.update_capacity(shares.iter().map(|share| share.value()).sum());
    }

    /// Recomputes whether the view of the fleet is dense or sparse, and notifies the components whose state
    /// depends on the view.
    fn refresh_view(&mut self) {
        self.fleet.refresh_view(self.settings.balancer_count);
        let view = self.fleet.view();
        self.admission.set_view(view);
        self.retry_budget.set_view(view);
        self.load_polling.set_view(view, &self.settings);
    }
}
