//! Load shedding: which classes and tenants are rejected first when not everything can be served.

use crate::state::ShedOrder;
use crate::{Balancer, Request, ValueBasis};

/// A tenant is over its share at this multiple of it; usage fluctuates without any abuse.
const SHARE_SLACK: f64 = 1.4;

impl Balancer {
    /// Whether a request is beyond its tenant's share. If a tenant takes more than its share of this
    /// balancer's traffic, the excess is. No balancer sees all traffic; its own is the sample that it has.
    pub(crate) fn is_over_share(&mut self, request: &Request) -> bool {
        let Some(id) = request.tenant else { return false };
        let Some(tenant) = self.settings.tenants.get(id.0) else { return false };
        let all_traffic: f64 = self.traffic.by_tenant.iter().sum();
        let fair_traffic = SHARE_SLACK * tenant.share * all_traffic;
        let own_traffic = self.traffic.by_tenant[id.0];
        self.settings.over_share_value < 1.0 && self.rng.f64() * own_traffic > fair_traffic.max(1.0)
    }

    /// Whether a request of this rank is admitted.
    pub(crate) fn admits(&mut self, order: ShedOrder) -> bool {
        if !self.is_sparse() {
            return true;
        }
        let probability = self.admission.probability_for(order, self.shed_first_share());
        self.rng.f64() < probability
    }

    /// The share of the traffic whose class is shed first.
    fn shed_first_share(&self) -> f64 {
        let classes = self.traffic.by_class.iter().zip(&self.class_order);
        let first = classes.map(|(count, order)| if *order == ShedOrder::First { *count } else { 0.0 });
        first.sum::<f64>() / self.traffic.by_class.iter().sum::<f64>()
    }

    /// Decides which classes are shed first. Shedding a set of classes costs their value and, once, the part
    /// of the goal that hangs on the worst class; the set that frees most work for its cost is shed first.
    pub(crate) fn rank_classes(&mut self) {
        let (settings, traffic) = (&self.settings, &self.traffic.by_class);
        let work = |class: usize| traffic[class] * self.latency.typical_latency_ms(settings, class);
        let volume = |class: usize| match settings.value_basis {
            ValueBasis::Work => work(class),
            ValueBasis::Requests => traffic[class],
        };
        let value = |class: usize| settings.classes[class].priority_weight * volume(class);
        let class_count = settings.classes.len();
        let mut ranked: Vec<usize> = (0..class_count).filter(|&class| work(class) > 0.0).collect();
        ranked.sort_by(|&a, &b| (value(a) / work(a)).total_cmp(&(value(b) / work(b))));
        let total_value: f64 = ranked.iter().map(|&class| value(class)).sum();
        let goal = &settings.goal;
        let (mut lost_value, mut freed_work) = (goal.worst_class * total_value, 0.0);
        let (mut least_cost, mut shed_count) = (f64::INFINITY, 0);
        for (position, &class) in ranked.iter().enumerate() {
            lost_value += (goal.overall + goal.worst_window) * value(class);
            freed_work += work(class);
            if lost_value / freed_work < least_cost {
                (least_cost, shed_count) = (lost_value / freed_work, position + 1);
            }
        }
        self.class_order = vec![ShedOrder::First; class_count];
        ranked[shed_count..].iter().for_each(|&class| self.class_order[class] = ShedOrder::Last);
    }
}
