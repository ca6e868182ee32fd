//! Which classes are shed first.

use super::traffic::Traffic;
use crate::policy::latency::FleetLatency;
use crate::{ClassId, Settings, ValueBasis};

/// Whether a request is shed before others or after them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShedOrder {
    Last,
    First,
}

/// What a class's recent traffic costs the servers, and what serving it is worth.
struct ClassLoad {
    class: ClassId,
    work: f64,
    value: f64,
}

impl ClassLoad {
    fn new(settings: &Settings, traffic: &Traffic, latency: &FleetLatency, class: ClassId) -> Self {
        let requests = traffic.of_class(class);
        let work = requests * latency.typical_latency_ms(settings, class);
        let volume = match settings.value_basis {
            ValueBasis::Work => work,
            ValueBasis::Requests => requests,
        };
        let value = settings.class(class).priority_weight * volume;
        ClassLoad { class, work, value }
    }

    fn value_per_work(&self) -> f64 {
        self.value / self.work
    }
}

/// Decides by class which are shed first (docs/findings/fleet-shares.md). Shedding a set of classes costs
/// their value and, once, the part of the goal that depends on the worst class; the set that costs least for
/// the work that it frees is shed first.
pub fn rank_classes(settings: &Settings, traffic: &Traffic, latency: &FleetLatency) -> Vec<ShedOrder> {
    let classes = (0..settings.classes.len()).map(ClassId);
    let loads = classes.map(|class| ClassLoad::new(settings, traffic, latency, class));
    let mut ranked: Vec<ClassLoad> = loads.filter(|load| load.work > 0.0).collect();
    ranked.sort_by(|a, b| a.value_per_work().total_cmp(&b.value_per_work()));

    let mut order = vec![ShedOrder::First; settings.classes.len()];
    for load in &ranked[cheapest_set_size(settings, &ranked)..] {
        order[load.class.0] = ShedOrder::Last;
    }
    order
}

/// How many of the classes, which come by value for their work, cost least for the work that they free.
fn cheapest_set_size(settings: &Settings, ranked: &[ClassLoad]) -> usize {
    let goal = &settings.goal;
    let total_value: f64 = ranked.iter().map(|load| load.value).sum();
    let mut lost_value = goal.worst_class * total_value;
    let mut freed_work = 0.0;
    let mut least_cost = f64::INFINITY;
    let mut set_size = 0;
    for (position, load) in ranked.iter().enumerate() {
        lost_value += (goal.overall + goal.worst_window) * load.value;
        freed_work += load.work;
        let cost = lost_value / freed_work;
        if cost < least_cost {
            least_cost = cost;
            set_size = position + 1;
        }
    }
    set_size
}

#[cfg(test)]
mod tests;
