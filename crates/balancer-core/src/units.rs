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

/// The share of its full capacity that a server is known to have: below 1 while it warms up.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct CapacityShare(f64);

impl CapacityShare {
    /// The share of a warm server.
    pub const FULL: CapacityShare = CapacityShare(1.0);

    /// A share, where 1 is the full capacity.
    pub const fn new(share: f64) -> Self {
        CapacityShare(share)
    }

    /// The share as a number.
    pub const fn value(self) -> f64 {
        self.0
    }

    /// Whether the server is warm.
    pub fn is_full(self) -> bool {
        self >= CapacityShare::FULL
    }
}

/// The probability with which something happens, between 0 and 1.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Probability(f64);

impl Probability {
    /// A probability between 0 and 1.
    pub const fn new(probability: f64) -> Self {
        Probability(probability)
    }

    /// The probability as a number.
    pub const fn value(self) -> f64 {
        self.0
    }
}

/// The work of a request for a server, in milliseconds of one core.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Work(f64);

impl Work {
    /// Work that takes one core so many milliseconds.
    pub const fn from_millis_f64(millis: f64) -> Self {
        Work(millis)
    }

    /// Milliseconds of one core.
    pub const fn as_millis_f64(self) -> f64 {
        self.0
    }
}
