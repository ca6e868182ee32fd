//! Latencies of servers, request classes and kinds of machine, each as a share of the class's latency
//! objective.

use super::smoothing::{median, update_recent_average, update_typical};
use crate::{MachineKindId, Settings};
use std::collections::{BTreeMap, BTreeSet};

/// Latency ratio that is assumed before anything has been answered.
pub const INITIAL_RATIO: f64 = 0.2;
/// Bounds of a server's relative slowness, so that single samples cannot drive it anywhere.
const MIN_RELATIVE_SLOWNESS: f64 = 0.05;
const MAX_RELATIVE_SLOWNESS: f64 = 8.0;
/// Ratios and latencies are held above zero by these, for they are divided by.
const MIN_CLASS_RATIO: f64 = 0.001;
const MIN_LATENCY_MS: f64 = 0.001;
const MIN_RATIO: f64 = 0.01;
/// Samples that the average of a kind of machine remembers at most, those that it counts for beside a
/// server's own, and those that a server's own count for at most.
const MAX_KIND_SAMPLES: f64 = 12.0;
const KIND_WEIGHT: f64 = 4.0;
const MAX_OWN_WEIGHT: f64 = 8.0;

/// The latency of one server.
pub struct ServerLatency {
    /// Smoothed latency ratio.
    pub ratio: f64,
    /// Samples taken.
    pub samples: u32,
    /// Latency over what is typical for the class, leaning to the quick answers: how slow the machine itself
    /// is.
    pub relative_slowness: f64,
}

impl Default for ServerLatency {
    fn default() -> Self {
        ServerLatency { ratio: 0.0, samples: 0, relative_slowness: 1.0 }
    }
}

impl ServerLatency {
    /// The latency of a server that starts anew with one sample.
    pub fn restarted(ratio: f64) -> Self {
        ServerLatency { ratio, samples: 1, relative_slowness: 1.0 }
    }

    fn record(&mut self, ratio: f64) {
        if self.samples == 0 {
            self.ratio = ratio;
        } else {
            update_recent_average(&mut self.ratio, ratio);
        }
        self.samples += 1;
    }
}

/// The latency of one request class, over all servers.
#[derive(Clone, Copy)]
pub struct ClassLatency {
    /// Leans to the quick answers, so that congestion is not mistaken for the usual state.
    pub typical_ratio: f64,
    /// As it is now, slow answers and all.
    pub current_ratio: f64,
}

/// The latency of one kind of machine.
struct KindLatency {
    ratio: f64,
    samples: f64,
}

/// The latencies of the fleet.
pub struct FleetLatency {
    pub classes: Vec<ClassLatency>,
    machine_kinds: BTreeMap<MachineKindId, KindLatency>,
    /// Median ratio of the serving servers.
    pub median_ratio: f64,
}

impl FleetLatency {
    /// What is assumed before anything has been answered.
    pub fn new(class_count: usize) -> Self {
        let class = ClassLatency { typical_ratio: INITIAL_RATIO, current_ratio: INITIAL_RATIO };
        let classes = vec![class; class_count];
        FleetLatency { classes, machine_kinds: BTreeMap::new(), median_ratio: INITIAL_RATIO }
    }

    /// The usual latency of a class in milliseconds.
    pub fn typical_latency_ms(&self, settings: &Settings, class: usize) -> f64 {
        let objective_ms = settings.classes[class].latency_objective.as_millis_f64();
        (self.classes[class].typical_ratio * objective_ms).max(MIN_LATENCY_MS)
    }

    /// The ratio to expect of a server: that of its kind of machine, and more and more its own.
    pub fn expected_ratio(&self, machine_kind: MachineKindId, server: &ServerLatency) -> f64 {
        let kind_ratio = self.machine_kinds.get(&machine_kind).map_or(self.median_ratio, |kind| kind.ratio);
        let own_weight = f64::from(server.samples).min(MAX_OWN_WEIGHT);
        let ratio = (kind_ratio * KIND_WEIGHT + server.ratio * own_weight) / (KIND_WEIGHT + own_weight);
        ratio.max(MIN_RATIO)
    }

    /// Takes in a served answer.
    pub fn record_success(&mut self, class: usize, ratio: f64, server: &mut ServerLatency) {
        let class = &mut self.classes[class];
        update_typical(&mut class.typical_ratio, ratio);
        let slowness = (ratio / class.typical_ratio.max(MIN_CLASS_RATIO)).min(MAX_RELATIVE_SLOWNESS);
        update_typical(&mut server.relative_slowness, slowness);
        server.relative_slowness = server.relative_slowness.max(MIN_RELATIVE_SLOWNESS);
        update_recent_average(&mut class.current_ratio, ratio);
    }

    /// Takes in any sample that shows load.
    pub fn record_sample(&mut self, kind: MachineKindId, ratio: f64, server: &mut ServerLatency) {
        let initial = KindLatency { ratio: self.median_ratio, samples: 1.0 };
        let kind = self.machine_kinds.entry(kind).or_insert(initial);
        kind.samples = (kind.samples + 1.0).min(MAX_KIND_SAMPLES);
        kind.ratio += (ratio - kind.ratio) / kind.samples;
        server.record(ratio);
    }

    /// Takes the median anew from the ratios of the servers that have answered; without any it stays.
    pub fn refresh_median(&mut self, ratios: impl Iterator<Item = f64>) {
        self.median_ratio = median(ratios).unwrap_or(self.median_ratio).max(MIN_RATIO);
    }

    /// Kinds of machine remembered.
    #[cfg(test)]
    pub fn machine_kind_count(&self) -> usize {
        self.machine_kinds.len()
    }

    /// Forgets the other kinds of machine.
    pub fn retain_machine_kinds(&mut self, known: &BTreeSet<MachineKindId>) {
        self.machine_kinds.retain(|kind, _| known.contains(kind));
    }
}

#[cfg(test)]
mod tests;
