//! Counts of recent requests, by class and by tenant.

use crate::policy::smoothing::decay_factor;
use crate::{ClassId, Request, TenantId, Time};

/// Time constant of the exponential decay of the counts, in milliseconds.
const DECAY_MS: f64 = 3000.0;

/// Exponentially decayed counts of requests.
pub struct Traffic {
    /// The request count of each class, by class id.
    by_class: Vec<f64>,
    /// The request count of each tenant, by tenant id.
    by_tenant: Vec<f64>,
    /// When the last request was counted; the counts have decayed up to this time.
    counted_at: Time,
}

impl Traffic {
    /// Creates counts of zero.
    pub fn new(class_count: usize, tenant_count: usize) -> Self {
        Traffic {
            by_class: vec![0.0; class_count],
            by_tenant: vec![0.0; tenant_count],
            counted_at: Time::EPOCH,
        }
    }

    /// Counts a request that has arrived. A request of an unknown tenant counts for its class only.
    pub fn count(&mut self, now: Time, request: &Request) {
        let decay = decay_factor(now.since(self.counted_at), DECAY_MS);
        self.counted_at = now;
        for count in self.by_class.iter_mut().chain(&mut self.by_tenant) {
            *count *= decay;
        }
        self.by_class[request.class.0] += 1.0;
        if let Some(count) = request.tenant.and_then(|tenant| self.by_tenant.get_mut(tenant.0)) {
            *count += 1.0;
        }
    }

    /// Returns the request count of a class.
    pub fn requests_of_class(&self, class: ClassId) -> f64 {
        self.by_class[class.0]
    }

    /// Returns the request count of a tenant, which the settings must contain.
    pub fn requests_of_tenant(&self, tenant: TenantId) -> f64 {
        self.by_tenant[tenant.0]
    }

    /// Returns the request counts of all classes, by class id.
    pub fn requests_by_class(&self) -> &[f64] {
        &self.by_class
    }

    /// Returns the sum of the request counts of all tenants.
    pub fn requests_of_all_tenants(&self) -> f64 {
        self.by_tenant.iter().sum()
    }
}

#[cfg(test)]
mod tests;
