//! The traffic of the last seconds, by class and by tenant.

use crate::{Request, Time};

/// Traffic is counted over about this many milliseconds.
const WINDOW_MS: f64 = 3000.0;

/// Whether a request is shed before others or after them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShedOrder {
    Last,
    First,
}

/// Exponentially decayed counts of requests.
pub struct Traffic {
    pub by_class: Vec<f64>,
    pub by_tenant: Vec<f64>,
    counted_at: Time,
}

impl Traffic {
    /// No traffic yet.
    pub fn new(class_count: usize, tenant_count: usize) -> Self {
        let (by_class, by_tenant) = (vec![0.0; class_count], vec![0.0; tenant_count]);
        Traffic { by_class, by_tenant, counted_at: Time(0) }
    }

    /// Counts a request.
    pub fn count(&mut self, now: Time, request: &Request) {
        let decay = (-now.since(self.counted_at).as_millis_f64() / WINDOW_MS).exp();
        self.counted_at = now;
        self.by_class.iter_mut().chain(&mut self.by_tenant).for_each(|count| *count *= decay);
        self.by_class[request.class.0] += 1.0;
        if let Some(count) = request.tenant.and_then(|tenant| self.by_tenant.get_mut(tenant.0)) {
            *count += 1.0;
        }
    }
}

#[cfg(test)]
mod tests;
