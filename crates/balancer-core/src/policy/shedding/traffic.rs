//! The traffic of the last seconds, by class and by tenant.

use crate::policy::smoothing::decay_factor;
use crate::{ClassId, Request, TenantId, Time};

/// Traffic is counted over about this many milliseconds.
const WINDOW_MS: f64 = 3000.0;

/// Exponentially decayed counts of requests.
pub struct Traffic {
    by_class: Vec<f64>,
    by_tenant: Vec<f64>,
    counted_at: Time,
}

impl Traffic {
    /// No traffic yet.
    pub fn new(class_count: usize, tenant_count: usize) -> Self {
        Traffic {
            by_class: vec![0.0; class_count],
            by_tenant: vec![0.0; tenant_count],
            counted_at: Time::EPOCH,
        }
    }

    /// Counts a request.
    pub fn count(&mut self, now: Time, request: &Request) {
        let decay = decay_factor(now.since(self.counted_at), WINDOW_MS);
        self.counted_at = now;
        for count in self.by_class.iter_mut().chain(&mut self.by_tenant) {
            *count *= decay;
        }
        self.by_class[request.class.0] += 1.0;
        if let Some(count) = request.tenant.and_then(|tenant| self.by_tenant.get_mut(tenant.0)) {
            *count += 1.0;
        }
    }

    /// Requests of a class.
    pub fn of_class(&self, class: ClassId) -> f64 {
        self.by_class[class.0]
    }

    /// Requests of a known tenant.
    pub fn of_tenant(&self, tenant: TenantId) -> f64 {
        self.by_tenant[tenant.0]
    }

    /// Requests by class.
    pub fn by_class(&self) -> &[f64] {
        &self.by_class
    }

    /// Requests of all tenants.
    pub fn of_all_tenants(&self) -> f64 {
        self.by_tenant.iter().sum()
    }
}

#[cfg(test)]
mod tests;
