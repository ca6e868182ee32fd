//! Admission control: the probability with which requests are admitted, learned from latencies.
//!
//! It scales all concurrency limits. A balancer sees few answers of each server but many of the fleet, so it
//! reacts to an overload of most servers within a few round trips, where the limits of single servers would
//! take half a minute. In a sparse view limits per server bind nothing, and the probability itself decides.

use super::concurrency::TARGET_RATIO;
use super::fleet::FleetView;
use super::shedding::{LoadShedder, ShedOrder};
use crate::units::{LatencyRatio, Probability};

/// An answer is slow from this latency ratio on: by then a server holds several requests for each core, and
/// one that does so for long becomes slower still. Counting only late answers would notice an overload too
/// late (docs/findings/fleet-jams.md).
pub const SLOW_RATIO: LatencyRatio = LatencyRatio::new(2.0 * TARGET_RATIO.value());
/// Part of the probability that is lost in a round trip of slow answers.
const CUT: f64 = 0.6;
/// Part of the probability's square root that is gained in a round trip of good answers. With `CUT`, a
/// quarter of slow answers keeps the probability as it is, and low probabilities recover quickly.
const GAIN: f64 = 0.2;
/// Answers that count as one round trip at least in a sparse view. With fewer, a single slow answer would
/// stop the balancer.
const MIN_ROUND: usize = 4;
/// Lowest probability in a sparse view. Without some admitted requests the end of an overload would go
/// unnoticed.
const MIN_PROBABILITY: f64 = 0.02;
/// Classes that are shed first keep this part of the probability, so that none is starved
/// (docs/findings/fleet-shares.md).
const MIN_CLASS_PART: f64 = 0.5;

/// The admission probability and the fleet that it was learned on.
pub struct AdmissionControl {
    probability: f64,
    view: FleetView,
    /// Balancers that share the fleet.
    balancer_count: u32,
    /// Capacity of the serving fleet, in warm servers.
    fleet_capacity: f64,
}

/// Bounds of the learning, by view.
struct LearningBounds {
    /// Answers that count as one round trip at least.
    min_round: usize,
    min_probability: f64,
}

impl AdmissionControl {
    /// Admits everything; `balancer_count` balancers share the fleet.
    pub fn new(balancer_count: u32) -> Self {
        AdmissionControl { probability: 1.0, view: FleetView::Dense, balancer_count, fleet_capacity: 0.0 }
    }

    /// Follows a change of the view.
    pub fn set_view(&mut self, view: FleetView) {
        self.view = view;
    }

    /// The probability for all classes together.
    pub fn probability(&self) -> Probability {
        Probability::new(self.probability)
    }

    /// Moves the probability by one answer, while `in_flight` attempts have not ended.
    pub fn record(&mut self, ratio: LatencyRatio, in_flight: usize) {
        let bounds = self.learning_bounds();
        let round = bounds.min_round.max(in_flight + 1);
        let is_slow = ratio >= SLOW_RATIO;
        let step = if is_slow { -CUT * self.probability } else { GAIN * self.probability.sqrt() };
        self.probability = (self.probability + step / round as f64).clamp(bounds.min_probability, 1.0);
    }

    fn learning_bounds(&self) -> LearningBounds {
        match self.view {
            FleetView::Dense => {
                LearningBounds { min_round: 1, min_probability: 1.0 / f64::from(self.balancer_count.max(1)) }
            }
            FleetView::Sparse => LearningBounds { min_round: MIN_ROUND, min_probability: MIN_PROBABILITY },
        }
    }

    /// Updates the capacity of the serving fleet, in warm servers. In a sparse view the probability is scaled
    /// with it: the endpoint list shows that a fleet shrinks before any server is slow, and a fleet that
    /// warms up can handle more (docs/findings/fleet-join.md). An empty list says nothing about the next one
    /// and is ignored.
    pub fn follow_capacity(&mut self, capacity: f64) {
        if capacity <= 0.0 {
            return;
        }
        if self.view == FleetView::Sparse && self.fleet_capacity > 0.0 {
            let scaled = self.probability * capacity / self.fleet_capacity;
            self.probability = scaled.clamp(MIN_PROBABILITY, 1.0);
        }
        self.fleet_capacity = capacity;
    }

    /// Whether a request of this shed order is admitted. In a dense view the limits of the servers decide,
    /// and everything is admitted here.
    pub fn admits(&self, order: ShedOrder, shedder: &LoadShedder, rng: &mut fastrand::Rng) -> bool {
        match self.view {
            FleetView::Dense => true,
            FleetView::Sparse => rng.f64() < self.probability_for(order, shedder.shed_first_share()),
        }
    }

    /// The probability for requests of this shed order: classes that are shed first get less, the others the
    /// rest.
    fn probability_for(&self, order: ShedOrder, shed_first_share: f64) -> f64 {
        if shed_first_share <= 0.0 || shed_first_share >= 1.0 {
            return self.probability;
        }
        let floor = MIN_CLASS_PART * self.probability;
        let first = floor.max((self.probability - (1.0 - shed_first_share)) / shed_first_share);
        match order {
            ShedOrder::First => first,
            ShedOrder::Last => (self.probability - shed_first_share * first) / (1.0 - shed_first_share),
        }
    }
}

#[cfg(test)]
mod tests;
