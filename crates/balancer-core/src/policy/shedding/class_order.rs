//! Decides which classes are shed first.

use super::traffic::Traffic;
use crate::policy::latency::FleetLatency;
use crate::{ClassId, Settings, ValueBasis};

/// Whether requests are shed before others or after others. The variants are declared in the order in which
/// queued requests are sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShedOrder {
    /// Shed only if it is not enough to shed the requests with [`First`](Self::First).
    Last,
    /// Shed before the others.
    First,
}

/// The work of the servers for the recent traffic of a class, and the value of serving this traffic.
struct ClassLoad {
    class: ClassId,
    /// Typical work for the recent requests, in milliseconds.
    work: f64,
    /// Value of the recent requests: the priority weight times their number or work.
    value: f64,
}

impl ClassLoad {
    fn new(settings: &Settings, traffic: &Traffic, latency: &FleetLatency, class: ClassId) -> Self {
        let requests = traffic.requests_of_class(class);
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

/// Returns the shed order of each class, by class id (docs/findings/fleet-shares.md).
///
/// The cost of shedding a set of classes is their value and, once per set, the term of the goal that depends
/// on the worst class. The set with the lowest cost per work freed is shed first. Classes without traffic are
/// shed first too.
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

/// Returns how many of the classes, sorted by ascending value per work, form the set with the lowest cost per
/// work freed.
fn cheapest_set_size(settings: &Settings, ranked: &[ClassLoad]) -> usize {
    let goal = &settings.goal;
    let total_value: f64 = ranked.iter().map(|load| load.value).sum();
    let mut lost_value = goal.worst_class * total_value;
    let mut freed_work = 0.0;
    let mut lowest_cost = f64::INFINITY;
    let mut set_size = 0;
    for (position, load) in ranked.iter().enumerate() {
        lost_value += (goal.overall + goal.worst_window) * load.value;
        freed_work += load.work;
        let cost = lost_value / freed_work;
        if cost < lowest_cost {
            lowest_cost = cost;
            set_size = position + 1;
        }
    }
    set_size
}

#[cfg(test)]
mod tests;
