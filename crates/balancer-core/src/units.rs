//! Quantities that cross modules, each with its unit in its type.

/// A latency as a share of the latency objective of its request class: 1 is an answer at the objective.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct LatencyRatio(f64);

impl LatencyRatio {
    /// A ratio of latency to objective.
    pub const fn new(ratio: f64) -> Self {
        LatencyRatio(ratio)
    }

    /// The ratio as a number.
    pub const fn value(self) -> f64 {
        self.0
    }
}
