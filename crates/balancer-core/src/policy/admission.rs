//! Admission control: the probability with which requests are admitted, learned from latencies.
//!
//! It scales all concurrency limits. A balancer sees few answers of each server but many of the fleet, so an
//! overload of most servers is answered within a few round trips, where the single limits would take half a
//! minute. In a sparse view limits per server bind nothing, and the probability itself decides.

use super::concurrency::TARGET_RATIO;
use crate::state::{FleetView, ShedOrder};

/// An answer is slow from this latency ratio on: by then a server holds several requests for each core, and
/// one that does so for long turns slow for longer. Late answers alone would be noticed too late.
pub const SLOW_RATIO: f64 = 2.0 * TARGET_RATIO;
/// The probability loses this share of itself in a round trip of slow answers, and gains `GAIN` of its root
/// in one of good ones: a quarter of slow answers holds it, low probabilities catch up.
const CUT: f64 = 0.6;
const GAIN: f64 = 0.2;
/// In a sparse view this many answers count as a round trip at least, or one slow answer would shut the
/// balancer; and this share is always admitted, or the end of an overload would never be seen.
const MIN_ROUND: usize = 4;
const MIN_PROBABILITY: f64 = 0.02;
/// Classes that are shed first keep this part of the probability, so that none is starved.
const MIN_CLASS_PART: f64 = 0.5;

/// The admission probability and the fleet that it was learned on.
pub struct AdmissionControl {
    pub probability: f64,
    /// Capacity of the serving fleet, in warm servers.
    fleet_capacity: f64,
}

impl AdmissionControl {
    /// Admits everything.
    pub fn new() -> Self {
        AdmissionControl { probability: 1.0, fleet_capacity: 0.0 }
    }

    /// Moves the probability by one answer, with `in_flight` attempts still out.
    pub fn record(&mut self, ratio: f64, in_flight: usize, view: FleetView, balancer_count: u32) {
        let (round, min_probability) = match view {
            FleetView::Sparse => (MIN_ROUND.max(in_flight + 1), MIN_PROBABILITY),
            FleetView::Dense => (in_flight + 1, 1.0 / f64::from(balancer_count.max(1))),
        };
        let is_slow = ratio >= SLOW_RATIO;
        let step = if is_slow { -CUT * self.probability } else { GAIN * self.probability.sqrt() };
        self.probability = (self.probability + step / round as f64).clamp(min_probability, 1.0);
    }

    /// Takes in the capacity of the serving fleet, in warm servers. In a sparse view the probability goes
    /// with it: the endpoint list shows a fleet that shrinks before any server is slow, and servers that are
    /// slow stay slow; a fleet that warms up can handle more. An empty list says nothing about the next one.
    pub fn follow_capacity(&mut self, capacity: f64, view: FleetView) {
        if capacity <= 0.0 {
            return;
        }
        if view == FleetView::Sparse && self.fleet_capacity > 0.0 {
            let scaled = self.probability * capacity / self.fleet_capacity;
            self.probability = scaled.clamp(MIN_PROBABILITY, 1.0);
        }
        self.fleet_capacity = capacity;
    }

    /// The probability for requests of this rank: classes that are shed first get less, the others the rest.
    pub fn probability_for(&self, order: ShedOrder, shed_first_share: f64) -> f64 {
        let floor = MIN_CLASS_PART * self.probability;
        let first = floor.max((self.probability - (1.0 - shed_first_share)) / shed_first_share);
        match order {
            _ if shed_first_share <= 0.0 || shed_first_share >= 1.0 => self.probability,
            ShedOrder::First => first,
            ShedOrder::Last => (self.probability - shed_first_share * first) / (1.0 - shed_first_share),
        }
    }
}
