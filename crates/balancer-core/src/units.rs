//! Types for quantities that several modules use. Each type fixes the unit of its quantity.

/// A latency divided by the latency objective of the request class. The ratio is 1 if the latency equals the
/// objective.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct LatencyRatio(f64);

impl LatencyRatio {
    /// Creates a latency ratio from a number.
    pub const fn new(ratio: f64) -> Self {
        LatencyRatio(ratio)
    }

    /// Returns the ratio as a number.
    pub const fn value(self) -> f64 {
        self.0
    }
}

/// The share of its full capacity that a server is known to have. The share is below 1 during warm-up.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct CapacityShare(f64);

impl CapacityShare {
    /// The capacity share of a server that has warmed up.
    pub const FULL: CapacityShare = CapacityShare(1.0);

    /// Creates a capacity share from a number, where 1 is the full capacity.
    pub const fn new(share: f64) -> Self {
        CapacityShare(share)
    }

    /// Returns the capacity share as a number.
    pub const fn value(self) -> f64 {
        self.0
    }

    /// Returns whether the server has warmed up.
    pub fn is_full(self) -> bool {
        self >= CapacityShare::FULL
    }
}

/// A probability, between 0 and 1.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Probability(f64);

impl Probability {
    /// Creates a probability from a number between 0 and 1.
    pub const fn new(probability: f64) -> Self {
        Probability(probability)
    }

    /// Returns the probability as a number.
    pub const fn value(self) -> f64 {
        self.0
    }
}

/// The work that a request causes at a server, in milliseconds of one core.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Work(f64);

impl Work {
    /// Creates the work that one core completes in `millis` milliseconds.
    pub const fn from_millis_f64(millis: f64) -> Self {
        Work(millis)
    }

    /// Returns the work in milliseconds of one core.
    pub const fn as_millis_f64(self) -> f64 {
        self.0
    }
}
