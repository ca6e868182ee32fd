//! Which requests are shed first, by class and by their tenant's share.

use super::class_order::{rank_classes, ShedOrder};
use super::traffic::Traffic;
use crate::policy::latency::FleetLatency;
use crate::policy::requests::ActiveRequest;
use crate::{ClassId, Request, Settings, Time};

/// A tenant is over its share at this multiple of it; usage fluctuates without any abuse.
const SHARE_SLACK: f64 = 1.4;

/// The recent traffic, and the order in which classes are shed.
pub struct LoadShedder {
    traffic: Traffic,
    /// By class.
    class_order: Vec<ShedOrder>,
}

impl LoadShedder {
    /// No traffic yet; all classes are shed alike.
    pub fn new(class_count: usize, tenant_count: usize) -> Self {
        LoadShedder {
            traffic: Traffic::new(class_count, tenant_count),
            class_order: vec![ShedOrder::First; class_count],
        }
    }

    /// Counts a request that has arrived.
    pub fn count(&mut self, now: Time, request: &Request) {
        self.traffic.count(now, request);
    }

    /// Whether a request is beyond its tenant's share. A tenant that takes more than its share of this
    /// balancer's traffic has the excess shed first, as a random part of its requests. No balancer sees all
    /// traffic; its own is the sample that it has.
    pub fn is_over_share(&self, settings: &Settings, request: &Request, rng: &mut fastrand::Rng) -> bool {
        let Some(tenant) = request.tenant else { return false };
        let Some(tenant_settings) = settings.tenants.get(tenant.0) else { return false };
        if settings.over_share_value >= 1.0 {
            return false;
        }
        let fair_traffic = SHARE_SLACK * tenant_settings.share * self.traffic.of_all_tenants();
        rng.f64() * self.traffic.of_tenant(tenant) > fair_traffic.max(1.0)
    }

    /// Whether a class is shed first.
    pub fn class_order(&self, class: ClassId) -> ShedOrder {
        self.class_order[class.0]
    }

    /// Whether a request is shed first: for its tenant's sake or for its class's.
    pub fn order_of(&self, active: &ActiveRequest) -> ShedOrder {
        if active.is_over_share {
            ShedOrder::First
        } else {
            self.class_order(active.class())
        }
    }

    /// The share of the traffic whose class is shed first.
    pub fn shed_first_share(&self) -> f64 {
        let by_class = self.traffic.by_class();
        let is_first = |order: &ShedOrder| *order == ShedOrder::First;
        let counts = by_class.iter().zip(&self.class_order);
        let first: f64 = counts.map(|(count, order)| if is_first(order) { *count } else { 0.0 }).sum();
        first / by_class.iter().sum::<f64>()
    }

    /// Decides anew which classes are shed first.
    pub fn rank_classes(&mut self, settings: &Settings, latency: &FleetLatency) {
        self.class_order = rank_classes(settings, &self.traffic, latency);
    }
}

#[cfg(test)]
mod tests;
