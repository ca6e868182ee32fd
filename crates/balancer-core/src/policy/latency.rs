//! Latency ratios of servers, request classes and machine kinds.

use super::smoothing::{median, update_recent_average, update_typical_value};
use crate::units::{LatencyRatio, Work};
use crate::{ClassId, MachineKindId, Request, Settings, Span};
use std::collections::{BTreeMap, BTreeSet};

/// Latency ratio that is assumed before the first response.
pub const INITIAL_RATIO: LatencyRatio = LatencyRatio::new(0.2);
/// Lowest relative slowness of a server, so that a few samples cannot make the value extreme.
const MIN_RELATIVE_SLOWNESS: f64 = 0.05;
/// Highest relative slowness of a sample, so that a few samples cannot make a server's value extreme.
const MAX_RELATIVE_SLOWNESS: f64 = 8.0;
/// Lower bound of a class's typical latency ratio, because other values are divided by it.
const MIN_TYPICAL_RATIO: f64 = 0.001;
/// Lower bound of a class's typical latency in milliseconds, because other values are divided by it.
const MIN_TYPICAL_LATENCY_MS: f64 = 0.001;
/// Lower bound of the expected and the median latency ratio, because other values are divided by them.
const MIN_RATIO: f64 = 0.01;
/// Highest number of samples in the moving average of a machine kind.
const MAX_MACHINE_KIND_SAMPLES: f64 = 12.0;
/// Weight of the average of the machine kind in the expected latency ratio of a server, in samples.
const MACHINE_KIND_WEIGHT: f64 = 4.0;
/// Highest weight of a server's own latency ratio in its expected latency ratio, in samples.
const MAX_SERVER_WEIGHT: f64 = 8.0;

/// The latency of one server.
pub struct ServerLatency {
    /// Smoothed latency ratio.
    ratio: f64,
    /// Number of samples recorded.
    sample_count: u32,
    /// Smoothed ratio of the latency of an attempt to the typical latency of its class. The average falls
    /// faster than it rises, so that it shows how slow the machine is without congestion.
    relative_slowness: f64,
}

impl Default for ServerLatency {
    fn default() -> Self {
        ServerLatency { ratio: 0.0, sample_count: 0, relative_slowness: 1.0 }
    }
}

impl ServerLatency {
    /// Creates the latency of a server whose earlier samples are discarded, with `ratio` as its only sample.
    pub fn from_sample(ratio: LatencyRatio) -> Self {
        ServerLatency { ratio: ratio.value(), sample_count: 1, relative_slowness: 1.0 }
    }

    /// Returns the smoothed latency ratio; 0 without samples.
    pub fn ratio(&self) -> LatencyRatio {
        LatencyRatio::new(self.ratio)
    }

    /// Returns the number of samples recorded since the server started, or since its earlier samples were
    /// discarded.
    pub fn sample_count(&self) -> u32 {
        self.sample_count
    }

    /// Returns how slow the server's machine is: 1 is typical, and 2 means twice the typical latency.
    pub fn relative_slowness(&self) -> f64 {
        self.relative_slowness
    }

    /// Records the latency ratio of an attempt.
    fn record(&mut self, ratio: f64) {
        if self.sample_count == 0 {
            self.ratio = ratio;
        } else {
            update_recent_average(&mut self.ratio, ratio);
        }
        self.sample_count += 1;
    }
}

/// The latency of one request class, over all servers.
#[derive(Clone, Copy)]
struct ClassLatency {
    /// Typical latency ratio. The average falls faster than it rises, so that congestion is not mistaken for
    /// the typical state.
    typical_ratio: f64,
    /// Average latency ratio of recent successful attempts.
    current_ratio: f64,
}

/// The latency of one machine kind.
struct MachineKindLatency {
    /// Moving average of the latency ratio.
    ratio: f64,
    /// Number of samples in the average, up to [`MAX_MACHINE_KIND_SAMPLES`]. The initial value counts as one.
    samples: f64,
}

/// The latencies of the fleet.
pub struct FleetLatency {
    /// The latency of each class, by class id.
    classes: Vec<ClassLatency>,
    /// The latency of each machine kind.
    machine_kinds: BTreeMap<MachineKindId, MachineKindLatency>,
    /// Median latency ratio of the serving servers.
    median_ratio: f64,
}

impl FleetLatency {
    /// Creates the latencies that are assumed before the first response.
    pub fn new(class_count: usize) -> Self {
        let initial = INITIAL_RATIO.value();
        let class = ClassLatency { typical_ratio: initial, current_ratio: initial };
        FleetLatency {
            classes: vec![class; class_count],
            machine_kinds: BTreeMap::new(),
            median_ratio: initial,
        }
    }

    /// Returns the typical latency ratio of a class, which congestion hardly raises.
    pub fn typical_ratio(&self, class: ClassId) -> LatencyRatio {
        LatencyRatio::new(self.classes[class.0].typical_ratio)
    }

    /// Returns the average latency ratio of a class's recent successful attempts, congestion included.
    pub fn current_ratio(&self, class: ClassId) -> LatencyRatio {
        LatencyRatio::new(self.classes[class.0].current_ratio)
    }

    /// Returns the median latency ratio of the serving servers.
    pub fn median_ratio(&self) -> LatencyRatio {
        LatencyRatio::new(self.median_ratio)
    }

    /// Returns the typical latency of a class, in milliseconds.
    pub fn typical_latency_ms(&self, settings: &Settings, class: ClassId) -> f64 {
        let objective_ms = settings.class(class).latency_objective.as_millis_f64();
        (self.typical_ratio(class).value() * objective_ms).max(MIN_TYPICAL_LATENCY_MS)
    }

    /// Estimates the work for a request by its cost hint or, without a hint, by the typical latency of its
    /// class.
    pub fn estimated_work(&self, settings: &Settings, request: &Request) -> Work {
        let typical_latency_ms = || self.typical_latency_ms(settings, request.class);
        let work_ms = request.cost_hint.map_or_else(typical_latency_ms, Span::as_millis_f64);
        Work::from_millis_f64(work_ms)
    }

    /// Returns the expected latency ratio of a server: the weighted mean of the average of its machine kind
    /// and the server's own average, whose weight grows with the number of its samples.
    ///
    /// For an unknown machine kind, the median of the fleet replaces the average of the machine kind.
    pub fn expected_ratio(&self, machine_kind: MachineKindId, server: &ServerLatency) -> LatencyRatio {
        let kind_ratio = self.machine_kinds.get(&machine_kind).map_or(self.median_ratio, |kind| kind.ratio);
        let server_weight = f64::from(server.sample_count).min(MAX_SERVER_WEIGHT);
        let ratio = (kind_ratio * MACHINE_KIND_WEIGHT + server.ratio * server_weight)
            / (MACHINE_KIND_WEIGHT + server_weight);
        LatencyRatio::new(ratio.max(MIN_RATIO))
    }

    /// Updates the latency of a class and the relative slowness of a server with the latency ratio of a
    /// successful attempt.
    pub fn record_success(&mut self, class: ClassId, ratio: LatencyRatio, server: &mut ServerLatency) {
        let ratio = ratio.value();
        let class = &mut self.classes[class.0];
        update_typical_value(&mut class.typical_ratio, ratio);
        let slowness = (ratio / class.typical_ratio.max(MIN_TYPICAL_RATIO)).min(MAX_RELATIVE_SLOWNESS);
        update_typical_value(&mut server.relative_slowness, slowness);
        server.relative_slowness = server.relative_slowness.max(MIN_RELATIVE_SLOWNESS);
        update_recent_average(&mut class.current_ratio, ratio);
    }

    /// Updates the latency of a server and of its machine kind with the latency ratio of an attempt,
    /// successful or not. Attempts that show nothing about the load of the server must not be recorded.
    pub fn record_sample(&mut self, kind: MachineKindId, ratio: LatencyRatio, server: &mut ServerLatency) {
        let ratio = ratio.value();
        let initial = MachineKindLatency { ratio: self.median_ratio, samples: 1.0 };
        let kind = self.machine_kinds.entry(kind).or_insert(initial);
        kind.samples = (kind.samples + 1.0).min(MAX_MACHINE_KIND_SAMPLES);
        kind.ratio += (ratio - kind.ratio) / kind.samples;
        server.record(ratio);
    }

    /// Recomputes the median from the servers that have samples. Keeps the old median if no server has
    /// samples.
    pub fn refresh_median<'a>(&mut self, servers: impl Iterator<Item = &'a ServerLatency>) {
        let sampled = servers.filter(|server| server.sample_count > 0);
        let median = median(sampled.map(|server| server.ratio));
        self.median_ratio = median.unwrap_or(self.median_ratio).max(MIN_RATIO);
    }

    /// Returns the number of known machine kinds.
    #[cfg(test)]
    pub fn machine_kind_count(&self) -> usize {
        self.machine_kinds.len()
    }

    /// Removes the latencies of all machine kinds except the `known` ones.
    pub fn retain_machine_kinds(&mut self, known: &BTreeSet<MachineKindId>) {
        self.machine_kinds.retain(|kind, _| known.contains(kind));
    }
}

#[cfg(test)]
mod tests;
