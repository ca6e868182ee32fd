//! The order in which requests are shed, by their class and by their tenant's share.

use super::class_order::{rank_classes, ShedOrder};
use super::traffic::Traffic;
use crate::policy::latency::FleetLatency;
use crate::policy::requests::ActiveRequest;
use crate::{ClassId, Request, Settings, Time};

/// Multiple of its share that a tenant may use. A lower multiple would shed requests of tenants whose usage
/// only fluctuates.
const SHARE_SLACK_FACTOR: f64 = 1.4;

/// The recent traffic, and the order in which classes are shed.
pub struct LoadShedder {
    /// The recent traffic.
    traffic: Traffic,
    /// The shed order of each class, by class id.
    class_shed_order: Vec<ShedOrder>,
}

impl LoadShedder {
    /// Creates a load shedder without traffic, which sheds all classes alike.
    pub fn new(class_count: usize, tenant_count: usize) -> Self {
        LoadShedder {
            traffic: Traffic::new(class_count, tenant_count),
            class_shed_order: vec![ShedOrder::First; class_count],
        }
    }

    /// Counts a request that has arrived.
    pub fn count(&mut self, now: Time, request: &Request) {
        self.traffic.count(now, request);
    }

    /// Decides, partly at random, whether a request is over its tenant's share.
    ///
    /// If a tenant's fraction of this balancer's traffic exceeds `SHARE_SLACK_FACTOR` times its share, a
    /// random fraction of the tenant's requests, as large as the excess, is over the share. The balancer uses
    /// its own traffic as a sample, because no balancer sees all traffic.
    pub fn is_over_share(&self, settings: &Settings, request: &Request, rng: &mut fastrand::Rng) -> bool {
        let Some(tenant) = request.tenant else { return false };
        let Some(tenant_settings) = settings.tenants.get(tenant.0) else { return false };
        if settings.over_share_value >= 1.0 {
            return false;
        }
        let allowed_requests =
            SHARE_SLACK_FACTOR * tenant_settings.share * self.traffic.requests_of_all_tenants();
        rng.f64() * self.traffic.requests_of_tenant(tenant) > allowed_requests.max(1.0)
    }

    /// Returns the shed order of a class.
    pub fn class_shed_order(&self, class: ClassId) -> ShedOrder {
        self.class_shed_order[class.0]
    }

    /// Returns the shed order of a request: a request over its tenant's share is shed first, and any other
    /// request has the shed order of its class.
    pub fn shed_order(&self, active: &ActiveRequest) -> ShedOrder {
        if active.is_over_share {
            ShedOrder::First
        } else {
            self.class_shed_order(active.class())
        }
    }

    /// Returns the fraction of the traffic that belongs to classes that are shed first; NaN if no request has
    /// been counted.
    pub fn shed_first_fraction(&self) -> f64 {
        let by_class = self.traffic.requests_by_class();
        let is_first = |order: &ShedOrder| *order == ShedOrder::First;
        let counts = by_class.iter().zip(&self.class_shed_order);
        let first: f64 = counts.map(|(count, order)| if is_first(order) { *count } else { 0.0 }).sum();
        first / by_class.iter().sum::<f64>()
    }

    /// Recomputes which classes are shed first.
    pub fn rank_classes(&mut self, settings: &Settings, latency: &FleetLatency) {
        self.class_shed_order = rank_classes(settings, &self.traffic, latency);
    }
}

#[cfg(test)]
mod tests;
