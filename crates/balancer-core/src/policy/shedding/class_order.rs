//! The order in which classes are shed.

use super::traffic::Traffic;
use crate::policy::latency::FleetLatency;
use crate::{ClassId, Settings, ValueBasis};

/// Whether requests are shed before others or after others. The variants are declared in the order in which
/// queued requests are sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShedOrder {
    /// The requests are shed after those with [`First`](Self::First).
    Last,
    /// The requests are shed before those with [`Last`](Self::Last).
    First,
}

/// The work that the recent traffic of a class causes, and the value of serving this traffic.
struct ClassLoad {
    class: ClassId,
    /// Typical work for the recent requests, in milliseconds.
    work_ms: f64,
    /// Value of the recent requests: the priority weight times their number or work.
    value: f64,
}

impl ClassLoad {
    /// Creates the load of a class from the recent traffic and the typical latency of the class.
    fn new(settings: &Settings, traffic: &Traffic, latency: &FleetLatency, class: ClassId) -> Self {
        let requests = traffic.requests_of_class(class);
        let work_ms = requests * latency.typical_latency_ms(settings, class);
        let volume = match settings.value_basis {
            ValueBasis::Work => work_ms,
            ValueBasis::Requests => requests,
        };
        let value = settings.class(class).priority_weight * volume;
        ClassLoad { class, work_ms, value }
    }

    /// Returns the value per millisecond of work.
    fn value_per_work(&self) -> f64 {
        self.value / self.work_ms
    }
}

/// Returns the shed order of each class, by class id (docs/findings/fleet-shares.md).
///
/// The cost of shedding a set of classes has two terms: the value of their requests, and the loss in the
/// result of the worst class, which is the same for all sets. The weights of the terms are in
/// [`Settings::goal`]. The set with the lowest cost per work freed is shed first. Classes without traffic are
/// shed first too.
pub fn rank_classes(settings: &Settings, traffic: &Traffic, latency: &FleetLatency) -> Vec<ShedOrder> {
    let classes = (0..settings.classes.len()).map(ClassId);
    let loads = classes.map(|class| ClassLoad::new(settings, traffic, latency, class));
    let mut ranked: Vec<ClassLoad> = loads.filter(|load| load.work_ms > 0.0).collect();
    ranked.sort_by(|a, b| a.value_per_work().total_cmp(&b.value_per_work()));

    let mut order = vec![ShedOrder::First; settings.classes.len()];
    for load in &ranked[cheapest_set_size(settings, &ranked)..] {
        order[load.class.0] = ShedOrder::Last;
    }
    order
}

/// Returns how many classes from the start of `ranked` form the set with the lowest cost per work freed.
/// `ranked` must be sorted by ascending value per work.
fn cheapest_set_size(settings: &Settings, ranked: &[ClassLoad]) -> usize {
    let goal = &settings.goal;
    let total_value: f64 = ranked.iter().map(|load| load.value).sum();
    let mut lost_value = goal.worst_class * total_value;
    let mut freed_work_ms = 0.0;
    let mut lowest_cost = f64::INFINITY;
    let mut set_size = 0;
    for (position, load) in ranked.iter().enumerate() {
        lost_value += (goal.overall + goal.worst_window) * load.value;
        freed_work_ms += load.work_ms;
        let cost = lost_value / freed_work_ms;
        if cost < lowest_cost {
            lowest_cost = cost;
            set_size = position + 1;
        }
    }
    set_size
}

#[cfg(test)]
mod tests;
