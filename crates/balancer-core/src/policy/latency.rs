//! Latencies of servers, request classes and kinds of machine, each as a share of the class's latency
//! objective.

use super::smoothing::{median, update_recent_average, update_typical};
use crate::units::{LatencyRatio, Work};
use crate::{ClassId, MachineKindId, Request, Settings, Span};
use std::collections::{BTreeMap, BTreeSet};

/// Latency ratio that is assumed before anything has been answered.
pub const INITIAL_RATIO: LatencyRatio = LatencyRatio::new(0.2);
/// Bounds of a server's relative slowness, so that single samples cannot drive it anywhere.
const MIN_RELATIVE_SLOWNESS: f64 = 0.05;
const MAX_RELATIVE_SLOWNESS: f64 = 8.0;
/// Lower bounds of figures that others are divided by.
const MIN_CLASS_RATIO: f64 = 0.001;
const MIN_LATENCY_MS: f64 = 0.001;
const MIN_RATIO: f64 = 0.01;
/// Most samples that the average of a kind of machine remembers.
const MAX_KIND_SAMPLES: f64 = 12.0;
/// Samples that a kind's average counts for beside a server's own samples.
const KIND_WEIGHT: f64 = 4.0;
/// Most samples that a server's own latency counts for.
const MAX_OWN_WEIGHT: f64 = 8.0;

/// The latency of one server.
pub struct ServerLatency {
    /// Smoothed latency ratio.
    ratio: f64,
    /// Samples recorded.
    samples: u32,
    /// Latency over what is typical for the class, following quick answers faster than slow ones: how slow
    /// the machine itself is.
    relative_slowness: f64,
}

impl Default for ServerLatency {
    fn default() -> Self {
        ServerLatency { ratio: 0.0, samples: 0, relative_slowness: 1.0 }
    }
}

impl ServerLatency {
    /// The latency of a server that starts anew with one sample.
    pub fn restarted(ratio: LatencyRatio) -> Self {
        ServerLatency { ratio: ratio.value(), samples: 1, relative_slowness: 1.0 }
    }

    /// The smoothed latency; 0 without samples.
    pub fn ratio(&self) -> LatencyRatio {
        LatencyRatio::new(self.ratio)
    }

    /// Samples recorded since the server started.
    pub fn samples(&self) -> u32 {
        self.samples
    }

    /// How slow the machine is next to what is typical: 1 is typical, 2 takes twice as long.
    pub fn relative_slowness(&self) -> f64 {
        self.relative_slowness
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
struct ClassLatency {
    /// Follows quick answers faster than slow ones, so that congestion is not mistaken for the usual state.
    typical_ratio: f64,
    /// The recent average, slow answers included.
    current_ratio: f64,
}

/// The latency of one kind of machine.
struct KindLatency {
    ratio: f64,
    samples: f64,
}

/// The latencies of the fleet.
pub struct FleetLatency {
    /// By class.
    classes: Vec<ClassLatency>,
    machine_kinds: BTreeMap<MachineKindId, KindLatency>,
    /// Median ratio of the serving servers.
    median_ratio: f64,
}

impl FleetLatency {
    /// What is assumed before anything has been answered.
    pub fn new(class_count: usize) -> Self {
        let initial = INITIAL_RATIO.value();
        let class = ClassLatency { typical_ratio: initial, current_ratio: initial };
        FleetLatency {
            classes: vec![class; class_count],
            machine_kinds: BTreeMap::new(),
            median_ratio: initial,
        }
    }

    /// The usual latency of a class, not raised by congestion.
    pub fn typical_ratio(&self, class: ClassId) -> LatencyRatio {
        LatencyRatio::new(self.classes[class.0].typical_ratio)
    }

    /// The recent latency of a class.
    pub fn current_ratio(&self, class: ClassId) -> LatencyRatio {
        LatencyRatio::new(self.classes[class.0].current_ratio)
    }

    /// The median latency of the serving servers.
    pub fn median_ratio(&self) -> LatencyRatio {
        LatencyRatio::new(self.median_ratio)
    }

    /// The usual latency of a class in milliseconds.
    pub fn typical_latency_ms(&self, settings: &Settings, class: ClassId) -> f64 {
        let objective_ms = settings.class(class).latency_objective.as_millis_f64();
        (self.typical_ratio(class).value() * objective_ms).max(MIN_LATENCY_MS)
    }

    /// The work to expect of a request: its cost hint, else the usual latency of its class.
    pub fn estimated_work(&self, settings: &Settings, request: &Request) -> Work {
        let usual_latency_ms = || self.typical_latency_ms(settings, request.class);
        let work_ms = request.cost_hint.map_or_else(usual_latency_ms, Span::as_millis_f64);
        Work::from_millis_f64(work_ms)
    }

    /// The ratio to expect of a server: at first that of its kind of machine, with more samples its own.
    pub fn expected_ratio(&self, machine_kind: MachineKindId, server: &ServerLatency) -> LatencyRatio {
        let kind_ratio = self.machine_kinds.get(&machine_kind).map_or(self.median_ratio, |kind| kind.ratio);
        let own_weight = f64::from(server.samples).min(MAX_OWN_WEIGHT);
        let ratio = (kind_ratio * KIND_WEIGHT + server.ratio * own_weight) / (KIND_WEIGHT + own_weight);
        LatencyRatio::new(ratio.max(MIN_RATIO))
    }

    /// Records a served answer for its class and for the relative slowness of its server.
    pub fn record_success(&mut self, class: ClassId, ratio: LatencyRatio, server: &mut ServerLatency) {
        let ratio = ratio.value();
        let class = &mut self.classes[class.0];
        update_typical(&mut class.typical_ratio, ratio);
        let slowness = (ratio / class.typical_ratio.max(MIN_CLASS_RATIO)).min(MAX_RELATIVE_SLOWNESS);
        update_typical(&mut server.relative_slowness, slowness);
        server.relative_slowness = server.relative_slowness.max(MIN_RELATIVE_SLOWNESS);
        update_recent_average(&mut class.current_ratio, ratio);
    }

    /// Records any latency that shows load, served or not, for a server and its kind of machine.
    pub fn record_sample(&mut self, kind: MachineKindId, ratio: LatencyRatio, server: &mut ServerLatency) {
        let ratio = ratio.value();
        let initial = KindLatency { ratio: self.median_ratio, samples: 1.0 };
        let kind = self.machine_kinds.entry(kind).or_insert(initial);
        kind.samples = (kind.samples + 1.0).min(MAX_KIND_SAMPLES);
        kind.ratio += (ratio - kind.ratio) / kind.samples;
        server.record(ratio);
    }

    /// Recomputes the median from the servers that have answered; without any it stays as it is.
    pub fn refresh_median<'a>(&mut self, servers: impl Iterator<Item = &'a ServerLatency>) {
        let answered = servers.filter(|server| server.samples > 0);
        let median = median(answered.map(|server| server.ratio));
        self.median_ratio = median.unwrap_or(self.median_ratio).max(MIN_RATIO);
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
